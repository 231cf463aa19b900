#include "bilberry/targets/line_diff.h"
#include "bilberry/targets/target_store.h"

#include <gtest/gtest.h>
#include <string>

namespace bilberry::targets {
namespace {

TEST(StoredTargets, SerializeAndParseAndRejectMalformedText) {
  StoredTargets Value;
  Value.Revision = 7;
  Value.Text = "a\n\"b\" \xc3\xa9";
  Value.Changes = {
      {"id", 7, "me", "what", base::TimePoint(std::chrono::milliseconds(5))}};
  std::string Text = storedTargetsText(Value);
  auto Read = parseStoredTargets(Text);
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value().Text, Value.Text);
  EXPECT_EQ(Read.value().Changes[0].At, Value.Changes[0].At);
  EXPECT_EQ(storedTargetsText(Read.value()), Text);
  for (size_t Length = 0; Length < Text.size(); ++Length) {
    EXPECT_FALSE(parseStoredTargets(Text.substr(0, Length))) << Length;
  }
  for (const char *MalformedText :
       {"[]", "7", R"({"revision":0,"document":"","changes":[]})",
        R"({"revision":-1,"document":"","changes":[]})",
        R"({"revision":1,"document":1,"changes":[]})",
        R"({"revision":1,"document":"","changes":{}})",
        R"({"revision":1,"document":"","changes":[1]})"}) {
    EXPECT_FALSE(parseStoredTargets(MalformedText)) << MalformedText;
  }
}

TEST(LineDiff, ListsAddedAndRemovedLines) {
  struct Case {
    std::string Before;
    std::string After;
    std::string ExpectedDiff;
  };
  const Case Cases[] = {
      {"", "", ""},
      {"a\nb\n", "a\nb\n", ""},
      {"", "a\n", "@ line 1\n+ a\n"},
      {"a\nb\nc\nd\ne\n", "a\nx\nc\nd\n",
       "@ line 2\n- b\n+ x\n@ line 5\n- e\n"},
      {"a\nb\na\nb\n", "b\na\n", "@ line 1\n- a\n@ line 4\n- b\n"},
  };
  for (const Case &Item : Cases) {
    EXPECT_EQ(lineDiff(Item.Before, Item.After), Item.ExpectedDiff);
  }
}

} // namespace
} // namespace bilberry::targets
