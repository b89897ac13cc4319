#include "Record.h"

#include <iomanip>
#include <iostream>

namespace verbenawell::review {

Record::Record(const std::string& aPath)
  : file_(aPath)
  , start_(std::chrono::steady_clock::now())
{
}

void
Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(mutex_);
  const double seconds = static_cast<double>(NowMs()) / 1000;
  file_ << std::fixed << std::setprecision(3) << std::setw(8) << seconds << "  "
        << aLine << std::endl;
}

std::int64_t
Record::NowMs() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now() - start_)
    .count();
}

} // namespace verbenawell::review
