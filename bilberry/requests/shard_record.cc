#include "bilberry/requests/shard_record.h"

#include <nlohmann/json.hpp>

namespace bilberry::requests {

static nlohmann::json holderJson(const ShardHolder &Holder) {
  return {{"name", Holder.Name.text()}, {"run", Holder.Run}};
}

static bool readHolder(const nlohmann::json &Document, const char *Key,
                       ShardHolder &Holder) {
  auto Found = Document.find(Key);
  if (Found == Document.end() || !Found->is_object()) {
    return false;
  }
  auto Name = Found->find("name");
  auto Run = Found->find("run");
  if (Name == Found->end() || !Name->is_string()) {
    return false;
  }
  if (Run == Found->end() || !Run->is_number_unsigned()) {
    return false;
  }
  Holder.Name = base::MemberName(Name->get<std::string>());
  Holder.Run = Run->get<base::Incarnation>();
  return true;
}

std::string shardRecordText(const ShardRecord &Record) {
  nlohmann::json Document = {{"owner", holderJson(Record.Owner)},
                             {"backup", holderJson(Record.Backup)},
                             {"epoch", Record.Epoch}};
  return Document.dump();
}

base::Result<ShardRecord> parseShardRecord(std::string_view Text) {
  const base::Error Malformed{base::ErrorCode::Malformed,
                              "invalid shard record"};
  nlohmann::json Document = nlohmann::json::parse(Text, nullptr, false);
  if (!Document.is_object()) {
    return Malformed;
  }
  ShardRecord Record;
  if (!readHolder(Document, "owner", Record.Owner) ||
      !readHolder(Document, "backup", Record.Backup)) {
    return Malformed;
  }
  auto Epoch = Document.find("epoch");
  if (Epoch == Document.end() || !Epoch->is_number_unsigned()) {
    return Malformed;
  }
  Record.Epoch = Epoch->get<uint64_t>();
  if (Record.Owner.Name.empty() || Record.Epoch == 0) {
    return Malformed;
  }
  return Record;
}

} // namespace bilberry::requests
