#include "bilberry/requests/outcome_store.h"

#include "bilberry/requests/record_table.h"

#include <variant>

namespace bilberry::requests {

static size_t answerBytes(const KeptOutcome &Value) {
  const auto *Answered = std::get_if<wire::Answer>(&Value.Outcome);
  return Answered == nullptr ? 0 : Answered->Body.size();
}

void OutcomeStore::put(base::RequestId Id, KeptOutcome Value) {
  this->erase(Id);
  if (std::holds_alternative<wire::Answer>(Value.Outcome)) {
    this->AnswersByAge.push_back(Id);
  }
  this->Bytes += answerBytes(Value);
  this->ById.emplace(Id, std::move(Value));
  this->shrink();
}

const KeptOutcome *OutcomeStore::find(base::RequestId Id) const {
  auto It = this->ById.find(Id);
  return It == this->ById.end() ? nullptr : &It->second;
}

void OutcomeStore::erase(base::RequestId Id) {
  auto It = this->ById.find(Id);
  if (It == this->ById.end()) {
    return;
  }
  this->Bytes -= answerBytes(It->second);
  this->ById.erase(It);
}

void OutcomeStore::shrink() {
  while (this->Bytes > this->BudgetBytes && !this->AnswersByAge.empty()) {
    this->erase(this->AnswersByAge.front());
    this->AnswersByAge.pop_front();
  }
}

void OutcomeStore::expire(base::TimePoint Now) {
  std::erase_if(this->ById, [&](const auto &Each) {
    bool IsOver = isExpired(Now, Each.second.Deadline);
    this->Bytes -= IsOver ? answerBytes(Each.second) : 0;
    return IsOver;
  });
  while (!this->AnswersByAge.empty() &&
         !this->ById.contains(this->AnswersByAge.front())) {
    this->AnswersByAge.pop_front();
  }
}

std::vector<std::pair<base::RequestId, KeptOutcome>> OutcomeStore::all() const {
  return {this->ById.begin(), this->ById.end()};
}

} // namespace bilberry::requests
