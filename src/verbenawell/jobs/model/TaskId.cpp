#include "verbenawell/jobs/model/TaskId.h"

#include <array>
#include <charconv>

namespace verbenawell::jobs {

std::string
ToString(const TaskId& aTask)
{
  return aTask.job_.Value() + "." + std::to_string(aTask.occurrence_.Value()) +
         "." + std::to_string(aTask.step_.Value()) + "." +
         std::to_string(aTask.index_.Value());
}

std::optional<TaskId>
ParseTaskId(std::string_view aText)
{
  const std::size_t dot = aText.find('.');
  if (dot == 0 || dot == std::string_view::npos) {
    return std::nullopt;
  }
  std::array<std::uint32_t, 3> numbers{};
  const char* next = aText.data() + dot;
  const char* const end = aText.data() + aText.size();
  for (std::uint32_t& number : numbers) {
    if (next == end || *next != '.') {
      return std::nullopt;
    }
    const auto [rest, error] = std::from_chars(next + 1, end, number);
    if (error != std::errc{}) {
      return std::nullopt;
    }
    next = rest;
  }
  if (next != end) {
    return std::nullopt;
  }
  return TaskId{ JobId{ std::string(aText.substr(0, dot)) },
                 Occurrence{ numbers[0] },
                 StepIndex{ numbers[1] },
                 TaskIndex{ numbers[2] } };
}

} // namespace verbenawell::jobs
