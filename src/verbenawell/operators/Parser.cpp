#include "verbenawell/operators/Parser.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell {

namespace {

struct Word
{
  std::string text_;
  std::size_t column_ = 0;
};

std::vector<Word>
Split(std::string_view aText)
{
  std::vector<Word> words;
  std::size_t at = 0;
  while ((at = aText.find_first_not_of(" \t", at)) != std::string_view::npos) {
    const std::size_t end =
      std::min(aText.find_first_of(" \t", at), aText.size());
    words.push_back({ std::string(aText.substr(at, end - at)), at + 1 });
    at = end;
  }
  return words;
}

/// Takes words from the left; a fault is thrown within this file only.
class Reader
{
public:
  explicit Reader(std::string_view aText)
    : words_(Split(aText))
    , end_(aText.size() + 1)
  {
  }

  [[nodiscard]] bool TakeIf(std::string_view aWord)
  {
    if (next_ < words_.size() && words_[next_].text_ == aWord) {
      ++next_;
      return true;
    }
    return false;
  }

  void Expect(std::string_view aWord)
  {
    if (!TakeIf(aWord)) {
      Fail("\"" + std::string(aWord) + "\"");
    }
  }

  std::string Name(const std::string& aWhat)
  {
    if (next_ == words_.size()) {
      Fail(aWhat);
    }
    return words_[next_++].text_;
  }

  std::uint32_t Number(const std::string& aWhat)
  {
    if (next_ == words_.size()) {
      Fail(aWhat);
    }
    const std::string& text = words_[next_].text_;
    std::uint32_t value = 0;
    const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) {
      Fail(aWhat);
    }
    ++next_;
    return value;
  }

  void ExpectEnd()
  {
    if (next_ < words_.size()) {
      Fail("end of command");
    }
  }

  [[noreturn]] void Fail(const std::string& aExpected) const
  {
    const std::size_t column =
      next_ < words_.size() ? words_[next_].column_ : end_;
    throw SyntaxFault{ column, aExpected };
  }

private:
  std::vector<Word> words_;
  std::size_t next_ = 0;
  std::size_t end_;
};

Command
ParseShow(Reader& aReader)
{
  if (aReader.TakeIf("fleet")) {
    return ShowFleet{};
  }
  if (aReader.TakeIf("vms")) {
    return ShowVms{};
  }
  if (aReader.TakeIf("waves")) {
    return ShowWaves{};
  }
  aReader.Fail("\"fleet\", \"vms\" or \"waves\"");
}

FleetChange
ParseCreate(Reader& aReader)
{
  if (aReader.TakeIf("pool")) {
    const PoolId pool{ aReader.Name("a pool name") };
    return DefinePool{ pool, aReader.TakeIf("spare") };
  }
  if (aReader.TakeIf("service")) {
    const ServiceId service{ aReader.Name("a service name") };
    aReader.Expect("in");
    const PoolId pool{ aReader.Name("a pool name") };
    aReader.Expect("budget");
    const VmCount budget{ aReader.Number("a number of VMs") };
    return DefineService{ service, pool, budget };
  }
  if (aReader.TakeIf("wave")) {
    const WaveId wave{ aReader.Name("a wave name") };
    aReader.Expect("over");
    return StartWave{ wave, PoolId{ aReader.Name("a pool name") }, {} };
  }
  aReader.Fail("\"pool\", \"service\" or \"wave\"");
}

Command
Parse(Reader& aReader)
{
  if (aReader.TakeIf("show")) {
    return ParseShow(aReader);
  }
  if (aReader.TakeIf("create")) {
    return ChangeFleet{ ParseCreate(aReader) };
  }
  if (aReader.TakeIf("move")) {
    const VmId vm{ aReader.Name("a VM name") };
    aReader.Expect("to");
    return ChangeFleet{ StartMove{ vm,
                                   PoolId{ aReader.Name("a pool name") } } };
  }
  if (aReader.TakeIf("drain")) {
    return ChangeFleet{ DrainVm{ VmId{ aReader.Name("a VM name") } } };
  }
  if (aReader.TakeIf("undrain")) {
    return ChangeFleet{ UndrainVm{ VmId{ aReader.Name("a VM name") } } };
  }
  aReader.Fail("\"show\", \"create\", \"move\", \"drain\" or \"undrain\"");
}

} // namespace

std::variant<Command, SyntaxFault>
ParseCommand(std::string_view aText)
{
  Reader reader{ aText };
  try {
    Command command = Parse(reader);
    reader.ExpectEnd();
    return command;
  } catch (const SyntaxFault& fault) {
    return fault;
  }
}

} // namespace verbenawell
