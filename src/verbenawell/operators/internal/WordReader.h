#pragma once

#include "verbenawell/operators/Command.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace verbenawell {

/// Takes the words of a command from the left. Throws `SyntaxFault`, which
/// `ParseCommand` catches, where a word is not what is expected.
class WordReader
{
public:
  explicit WordReader(std::string_view aText);

  [[nodiscard]] bool ConsumeIf(std::string_view aWord);
  void Expect(std::string_view aWord);
  std::string ConsumeName(std::string_view aWhat);
  std::uint32_t ConsumeNumber(std::string_view aWhat);
  /// All words that are left, with single spaces.
  std::string ConsumeRest();
  [[nodiscard]] bool IsAtEnd() const { return next_ == words_.size(); }
  void ExpectEnd() const;

  /// Fails at the next word, or at the last one taken.
  [[noreturn]] void Fail(std::string_view aExpected) const;
  [[noreturn]] void FailAtLastWord(std::string_view aExpected) const;

private:
  struct Word
  {
    std::string text_;
    std::size_t column_ = 0;
  };

  std::vector<Word> words_;
  std::size_t next_ = 0;
  std::size_t end_;
};

} // namespace verbenawell
