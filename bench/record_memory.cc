// The memory that request records take, per thousand non-idempotent requests a
// second: build/release/record-memory

#include "bilberry/requests/outcome_store.h"
#include "bilberry/requests/record_table.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <string>

namespace bilberry::requests {
namespace {

constexpr uint64_t Records = 120'000;
constexpr uint64_t RequestsPerSecond = 1000;
constexpr base::Duration Deadline = std::chrono::seconds(10);
constexpr size_t AnswerBytes = 200;

double bytesPerRecord(const std::function<void(uint64_t)> &AddOne) {
  size_t Before = mallinfo2().uordblks;
  for (uint64_t Number = 0; Number < Records; ++Number) {
    AddOne(Number);
  }
  return static_cast<double>(mallinfo2().uordblks - Before) / Records;
}

base::RequestId idOf(uint64_t Number) {
  return {Number * 0x9E3779B97F4A7C15ULL, Number};
}

void report() {
  base::TimePoint End = base::TimePoint(std::chrono::hours(24)) + Deadline;
  RecordTable Table;
  double PerEntry = bytesPerRecord([&](uint64_t Number) {
    Table.record({idOf(Number), 1, wire::Verdict::Run, End});
  });
  OutcomeStore Outcomes(size_t{1} << 30);
  double PerOutcome = bytesPerRecord([&](uint64_t Number) {
    Outcomes.put(idOf(Number),
                 {1, End, wire::Answer{std::string(AnswerBytes, 'x')}});
  });
  double Seconds =
      std::chrono::duration<double>(Deadline + base::MaxClockSkew).count();
  double Live = Seconds * RequestsPerSecond;
  std::printf("record at owner and at backup: %.0f bytes each\n", PerEntry);
  std::printf("kept answer of %zu bytes: %.0f bytes\n", AnswerBytes,
              PerOutcome);
  std::printf("per %llu requests a second, deadline %.0f s: %.0f live records; "
              "%.2f MB at the owner, %.2f MB at the backup\n",
              static_cast<unsigned long long>(RequestsPerSecond),
              std::chrono::duration<double>(Deadline).count(), Live,
              Live * (PerEntry + PerOutcome) / 1e6, Live * PerEntry / 1e6);
}

} // namespace
} // namespace bilberry::requests

int main() {
  bilberry::requests::report();
  return 0;
}
