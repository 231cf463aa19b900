#include "bilberry/log/line_queue.h"

#include <utility>

namespace bilberry::log {

std::string_view importanceText(Importance Value) {
  switch (Value) {
  case Importance::Routine:
    return "routine";
  case Importance::Event:
    return "event";
  case Importance::Failure:
    return "failure";
  }
  return "unknown";
}

// Leaves out the newest lines of lower importance until Needed bytes are free.
// Returns false, and leaves out none, if they don't take that much.
bool LineQueue::makeRoom(Importance Rank, size_t Needed) {
  size_t Available = this->MaxBytes - this->Bytes;
  for (size_t I = 0; I < static_cast<size_t>(Rank); ++I) {
    Available += this->WaitingBytes[I];
  }
  if (Available < Needed) {
    return false;
  }
  for (size_t I = 0; this->MaxBytes - this->Bytes < Needed; ++I) {
    Lines &Lower = this->Waiting[I];
    while (!Lower.empty() && this->MaxBytes - this->Bytes < Needed) {
      size_t Size = sizeOf(Lower.back().Line);
      Lower.pop_back();
      this->Bytes -= Size;
      this->WaitingBytes[I] -= Size;
      ++this->LeftOut[I];
    }
  }
  return true;
}

void LineQueue::push(Importance Rank, std::string Line) {
  auto I = static_cast<size_t>(Rank);
  size_t Size = sizeOf(Line);
  if (!this->makeRoom(Rank, Size)) {
    ++this->LeftOut[I];
    return;
  }
  this->Bytes += Size;
  this->WaitingBytes[I] += Size;
  this->Waiting[I].push_back({this->NextSequence++, std::move(Line)});
}

// The list whose first line is the oldest, or null.
LineQueue::Lines *LineQueue::oldest() {
  Lines *Found = nullptr;
  for (Lines &Candidate : this->Waiting) {
    bool IsOlder =
        !Candidate.empty() &&
        (!Found || Candidate.front().Sequence < Found->front().Sequence);
    if (IsOlder) {
      Found = &Candidate;
    }
  }
  return Found;
}

std::string LineQueue::takeBatch(size_t MaxBatchBytes) {
  std::string Batch;
  while (Lines *Next = this->oldest()) {
    std::string &Line = Next->front().Line;
    if (!Batch.empty() && Batch.size() + Line.size() > MaxBatchBytes) {
      break;
    }
    size_t Size = sizeOf(Line);
    Batch += Line;
    Next->pop_front();
    this->Bytes -= Size;
    this->WaitingBytes[static_cast<size_t>(Next - this->Waiting.data())] -=
        Size;
  }
  return Batch;
}

} // namespace bilberry::log
