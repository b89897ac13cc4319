#include "verbenawell/operators/Parser.h"

#include <filesystem>
#include <fstream>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

// Guards against examples on the operators' page that the language refuses.
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
    const auto* fault = std::get_if<SyntaxFault>(&parsed);
    EXPECT_EQ(fault, nullptr)
      << line << ": expected " << (fault != nullptr ? fault->expected_ : "");
  }
  EXPECT_GT(examples, 20);
}

// Guards against a page that shows another grammar than the command `help`.
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

} // namespace
} // namespace verbenawell
