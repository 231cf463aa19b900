// Prints the memory that request records use per 1000 non-idempotent requests
// per second. Run build/release/record-memory.

#include "bilberry/requests/decision_table.h"
#include "bilberry/requests/outcome_store.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <string>

namespace bilberry::requests {
namespace {

constexpr uint64_t RecordCount = 120'000;
constexpr uint64_t RequestsPerSecond = 1000;
constexpr base::Duration Deadline = std::chrono::seconds(10);
constexpr size_t AnswerBytes = 200;

// Mean heap bytes per record over RecordCount calls of AddRecord, from
// mallinfo2().
double bytesPerRecord(const std::function<void(uint64_t)> &AddRecord) {
  size_t Before = mallinfo2().uordblks;
  for (uint64_t Number = 0; Number < RecordCount; ++Number) {
    AddRecord(Number);
  }
  return static_cast<double>(mallinfo2().uordblks - Before) / RecordCount;
}

base::RequestId makeRequestId(uint64_t Number) {
  return {Number * 0x9E3779B97F4A7C15ULL, Number};
}

void printReport() {
  base::TimePoint End = base::TimePoint(std::chrono::hours(24)) + Deadline;
  DecisionTable Table;
  double PerEntry = bytesPerRecord([&](uint64_t Number) {
    Table.record({makeRequestId(Number), 1, wire::RequestDecision::Run, End});
  });
  OutcomeStore Outcomes(size_t{1} << 30);
  double PerOutcome = bytesPerRecord([&](uint64_t Number) {
    Outcomes.put(makeRequestId(Number),
                 {1, End, wire::Answer{std::string(AnswerBytes, 'x')}});
  });
  double Seconds =
      std::chrono::duration<double>(Deadline + base::MaxClockSkew).count();
  double LiveRecords = Seconds * RequestsPerSecond;
  std::printf("record at owner and at backup: %.0f bytes each\n", PerEntry);
  std::printf("stored answer of %zu bytes: %.0f bytes\n", AnswerBytes,
              PerOutcome);
  std::printf("per %llu requests a second, deadline %.0f s: %.0f live records; "
              "%.2f MB at the owner, %.2f MB at the backup\n",
              static_cast<unsigned long long>(RequestsPerSecond),
              std::chrono::duration<double>(Deadline).count(), LiveRecords,
              LiveRecords * (PerEntry + PerOutcome) / 1e6,
              LiveRecords * PerEntry / 1e6);
}

} // namespace
} // namespace bilberry::requests

int main() {
  bilberry::requests::printReport();
  return 0;
}
