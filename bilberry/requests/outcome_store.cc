#include "bilberry/requests/outcome_store.h"

#include "bilberry/requests/decision_table.h"

#include <variant>

namespace bilberry::requests {

static size_t answerBytes(const StoredOutcome &Value) {
  const auto *Answered = std::get_if<wire::Answer>(&Value.Outcome);
  return Answered == nullptr ? 0 : Answered->Body.size();
}

void OutcomeStore::put(base::RequestId Id, StoredOutcome Value) {
  this->erase(Id);
  if (std::holds_alternative<wire::Answer>(Value.Outcome)) {
    this->AnswersByAge.push_back(Id);
  }
  this->TotalAnswerBytes += answerBytes(Value);
  this->ById.emplace(Id, std::move(Value));
  this->evictOldestAnswers();
}

const StoredOutcome *OutcomeStore::find(base::RequestId Id) const {
  auto It = this->ById.find(Id);
  return It == this->ById.end() ? nullptr : &It->second;
}

void OutcomeStore::erase(base::RequestId Id) {
  auto It = this->ById.find(Id);
  if (It == this->ById.end()) {
    return;
  }
  this->TotalAnswerBytes -= answerBytes(It->second);
  this->ById.erase(It);
}

void OutcomeStore::evictOldestAnswers() {
  while (this->TotalAnswerBytes > this->MaxAnswerBytes &&
         !this->AnswersByAge.empty()) {
    this->erase(this->AnswersByAge.front());
    this->AnswersByAge.pop_front();
  }
}

void OutcomeStore::expire(base::TimePoint Now) {
  std::erase_if(this->ById, [&](const auto &Each) {
    bool HasExpired = isExpired(Now, Each.second.Deadline);
    this->TotalAnswerBytes -= HasExpired ? answerBytes(Each.second) : 0;
    return HasExpired;
  });
  while (!this->AnswersByAge.empty() &&
         !this->ById.contains(this->AnswersByAge.front())) {
    this->AnswersByAge.pop_front();
  }
}

std::vector<std::pair<base::RequestId, StoredOutcome>>
OutcomeStore::all() const {
  return {this->ById.begin(), this->ById.end()};
}

} // namespace bilberry::requests
