#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/requests/Reasons.h"

#include <variant>

namespace verbenawell {

/// The backend server's whole answer is held by the adapter.
struct WholeAnswer
{
  int status_ = 0;
  ByteCount size_;
};

/// No byte of the request reached the backend server.
struct NotSent
{};

/// The backend server answered that it did not run the request.
struct RefusedByWorker
{};

/// The connection ended before the answer was whole.
struct CutAnswer
{};

/// No answer came in time.
struct LateAnswer
{};

/// The answer is larger than the configured limit.
struct OversizeAnswer
{};

/// The attempt was stopped because its caller is gone.
struct Cancelled
{};

/// The grant was returned before anything was sent.
struct Unused
{};

/// How one attempt on a backend server ended.
using AttemptOutcome = std::variant<WholeAnswer,
                                    NotSent,
                                    RefusedByWorker,
                                    CutAnswer,
                                    LateAnswer,
                                    OversizeAnswer,
                                    Cancelled,
                                    Unused>;

/// The request did not run.
struct NotRun
{
  RefusalReason reason_;
  /// When the caller may try again; zero where trying again cannot help.
  Duration retryAfter_{};
};

/// The request may have run.
struct MayHaveRun
{
  UnknownReason reason_;
};

} // namespace verbenawell
