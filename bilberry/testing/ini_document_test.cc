#include "bilberry/settings/ini_document.h"
#include "bilberry/settings/value_parsers.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <string>

namespace bilberry::settings {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Formats the document as one line for comparison, with line numbers.
std::string documentToText(const IniDocument &Document) {
  std::string Text;
  for (const IniSection &Section : Document.Sections) {
    Text += std::to_string(Section.Line) + "[" + Section.Name + "]";
    for (const IniEntry &Entry : Section.Entries) {
      Text += std::to_string(Entry.Line) + Entry.Key + "=" + Entry.Value + ";";
    }
  }
  return Text;
}

TEST(IniDocument, ParsesOrReportsEveryLine) {
  struct Case {
    std::string Text;
    std::string Document;
    std::string Problems;
  };
  std::string LongestKey(196, 'k');
  std::string LongName(70, 'n');
  const Case Cases[] = {
      {"", "", ""},
      {"; c\n[a]\n\nk = v ; c\n# c\n[b]\nl: w=x\n", "2[a]4k=v;6[b]7l=w=x;", ""},
      {"[a]\r\n  k = v\r\n\tl = w", "1[a]2k=v;3l=w;", ""},
      {"[" + LongName + "]\n", "1[" + LongName + "]", ""},
      {"[a]\nx\n[b\ny\nk=v\n", "1[a]5k=v;",
       "f:2: [a] expected [SECTION] or KEY = VALUE\n"
       "f:3: [a] section name has no closing ']'\n"
       "f:4: [a] expected [SECTION] or KEY = VALUE\n"},
      {"[a]\nk=1\nk=2\n[a]\n", "1[a]2k=1;4[a]",
       "f:3: [a] k: duplicate key; first defined on line 2\n"
       "f:4: [a] duplicate section; first defined on line 1\n"},
      {"k=1\n[]\n= 2\n[c] d\n", "2[]4[c]",
       "f:1: k: appears before the first section\n"
       "f:2: section name is empty\n"
       "f:3: missing key before '='\n"
       "f:4: [c] unexpected text after the section name\n"},
      {"[a]\n" + LongestKey + "=vv\n", "1[a]2" + LongestKey + "=vv;", ""},
      {"[a]\n" + LongestKey + "=vvv\nk=v\n", "1[a]3k=v;",
       "f:2: [a] line is 200 bytes long; the maximum is 199\n"},
      {std::string("[a]\nk=v\0w\n", 10), "1[a]",
       "f:2: [a] line contains a control character\n"},
  };
  for (const Case &Item : Cases) {
    base::Findings Problems;
    EXPECT_EQ(documentToText(parseIni(Item.Text, "f", Problems)), Item.Document)
        << Item.Text;
    EXPECT_EQ(Problems.text(), Item.Problems) << Item.Text;
  }
}

TEST(Values, ParsesAndFormatsDurations) {
  struct Case {
    std::string Text;
    base::Duration Value;
  };
  const Case Good[] = {
      {"250ms", milliseconds(250)}, {"5s", seconds(5)},
      {"30min", minutes(30)},       {"10h", hours(10)},
      {"0ms", milliseconds(0)},     {"2562047h", hours(2562047)}};
  for (const Case &Item : Good) {
    auto Parsed = parseDuration(Item.Text);
    ASSERT_TRUE(Parsed) << Item.Text;
    EXPECT_EQ(Parsed.value(), Item.Value) << Item.Text;
    EXPECT_EQ(formatDuration(Item.Value), Item.Text);
  }
  for (const char *Bad : {"", "5", "s", "-5s", "+5s", "5 s", "5.5s", "5S", "5m",
                          "5ss", "2562048h", "99999999999999999999s"}) {
    EXPECT_FALSE(parseDuration(Bad)) << Bad;
  }
}

TEST(Values, ParsesNumbersNamesAndAddresses) {
  EXPECT_EQ(parseUnsigned("16", 1, 16).value(), 16u);
  for (const char *Bad :
       {"0", "17", "", "x", "1x", "-1", " 1", "0x1", "99999999999999999999"}) {
    EXPECT_FALSE(parseUnsigned(Bad, 1, 16)) << Bad;
  }
  EXPECT_EQ(parseName("kl-a.1").value(), "kl-a.1");
  EXPECT_TRUE(parseName(std::string(63, 'a')));
  for (const std::string &Bad :
       {std::string(), std::string(64, 'a'), std::string("A"),
        std::string("a/b"), std::string("a b"), std::string("\xc3\xa9")}) {
    EXPECT_FALSE(parseName(Bad)) << Bad;
  }
  EXPECT_EQ(parseAddresses("127.0.0.1:1, 127.0.0.2:2").value().size(), 2u);
  for (const char *Bad : {"", ",", "127.0.0.1:1,", "127.0.0.1"}) {
    EXPECT_FALSE(parseAddresses(Bad)) << Bad;
  }
  EXPECT_TRUE(parseYesNo("yes").value());
  EXPECT_FALSE(parseYesNo("no").value());
  EXPECT_FALSE(parseYesNo("Yes"));
}

} // namespace
} // namespace bilberry::settings
