#include "verbenawell/metrics/Metrics.h"
#include "verbenawell/operators/Parser.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

// Guards against examples on the operators' page that the parser rejects.
TEST(PagesTest, ParsesEveryExampleOfTheOperatorsPage)
{
  const std::filesystem::path page =
    std::filesystem::path(VERBENAWELL_SOURCE_DIR) / "docs" / "operators.md";
  std::ifstream file{ page };
  ASSERT_TRUE(file) << page;
  constexpr std::string_view kPrompt = "verbenawell> ";
  int examples = 0;
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with(kPrompt)) {
      continue;
    }
    ++examples;
    const auto parsed = ParseCommand(line.substr(kPrompt.size()));
    const auto* fault = std::get_if<CommandSyntaxError>(&parsed);
    EXPECT_EQ(fault, nullptr)
      << line << ": expected " << (fault != nullptr ? fault->expected_ : "");
  }
  EXPECT_GT(examples, 20);
}

// Guards against a grammar on the operators' page that differs from the output
// of the command `help`.
TEST(PagesTest, ShowsTheGrammarOfTheParserOnTheOperatorsPage)
{
  std::ifstream file{ std::filesystem::path(VERBENAWELL_SOURCE_DIR) / "docs" /
                      "operators.md" };
  const std::string text{ std::istreambuf_iterator<char>{ file }, {} };
  const auto squeeze = [](std::string_view aText) {
    std::string result;
    for (const char character : aText) {
      if (character != ' ' && character != '\n') {
        result += character;
      }
    }
    return result;
  };
  EXPECT_NE(squeeze(text).find(squeeze(GrammarText())), std::string::npos);
}

std::string
ReadPage(const char* aName)
{
  std::ifstream file{ std::filesystem::path(VERBENAWELL_SOURCE_DIR) / "docs" /
                      aName };
  return { std::istreambuf_iterator<char>{ file }, {} };
}

// Guards against a counter that the operators' page does not explain.
TEST(PagesTest, HasARowForEveryCounterOnTheOperatorsPage)
{
  const std::string page = ReadPage("operators.md");
  std::istringstream metrics{ Metrics().Expose() };
  constexpr std::string_view kPrefix = "verbenawell_";
  constexpr std::string_view kSuffix = "_total";
  int counters = 0;
  for (std::string line; std::getline(metrics, line);) {
    std::string name = line.substr(0, line.rfind(' '));
    const std::size_t suffix = name.find(kSuffix);
    if (suffix == std::string::npos) {
      continue;
    }
    ++counters;
    name = name.erase(suffix, kSuffix.size()).substr(kPrefix.size());
    EXPECT_NE(page.find('`' + name + '`'), std::string::npos) << name;
  }
  EXPECT_GT(counters, 60);
}

// Guards against a reason that is counted or sent to callers but missing on a
// page: each new enumeration value must be added in several places.
TEST(PagesTest, NamesEveryReasonOnThePagesAndInTheMetrics)
{
  const std::string operators = ReadPage("operators.md");
  const std::string callers = ReadPage("callers.md");
  const std::string metrics = Metrics().Expose();
  const auto check = [&](auto aFirst, bool aForCallers) {
    using Reason = decltype(aFirst);
    for (int value = 0;; ++value) {
      const std::string name{ ToString(static_cast<Reason>(value)) };
      if (name == "invalid") {
        return value;
      }
      const std::string label = "reason=\"" + name + "\"}";
      EXPECT_NE(operators.find(label), std::string::npos) << name;
      EXPECT_NE(metrics.find(label), std::string::npos) << name;
      EXPECT_TRUE(!aForCallers ||
                  callers.find('`' + name + '`') != std::string::npos)
        << name;
    }
  };
  EXPECT_EQ(check(RefusalReason{}, true), 15);
  EXPECT_EQ(check(UnknownReason{}, true), 4);
  EXPECT_EQ(check(RetryReason{}, false), 5);
}

} // namespace
} // namespace verbenawell
