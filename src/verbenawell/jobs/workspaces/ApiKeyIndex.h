#pragma once

#include "verbenawell/jobs/model/Ids.h"
#include "verbenawell/jobs/workspaces/Credential.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

namespace verbenawell::jobs {

/// Finds workspaces by the keys of their callers. Holds no key, only the keyed
/// hash of each, under a salt that is drawn anew for each index.
class ApiKeyIndex
{
public:
  using Salt = std::array<std::uint8_t, 16>;
  /// HMAC-SHA-256 of a key.
  using Digest = std::array<std::uint8_t, 32>;

  explicit ApiKeyIndex(const Salt& aSalt)
    : salt_(aSalt)
  {
  }

  /// Adds a key of a workspace. Throws `std::invalid_argument` if the key
  /// belongs to another workspace, or is empty or too long.
  void Add(const ApiKey& aKey, const WorkspaceId& aWorkspace);

  /// The workspace of a key; null for an unknown key.
  [[nodiscard]] const WorkspaceId* Find(const ApiKey& aKey) const;

  [[nodiscard]] std::size_t Size() const { return workspaces_.size(); }

  /// Adds a key by its hash, as another daemon sent it.
  void Add(const Digest& aDigest, const WorkspaceId& aWorkspace)
  {
    workspaces_.insert_or_assign(aDigest, aWorkspace);
  }

  [[nodiscard]] const Salt& SaltOfKeys() const { return salt_; }

  [[nodiscard]] const std::map<Digest, WorkspaceId>& Workspaces() const
  {
    return workspaces_;
  }

private:
  [[nodiscard]] Digest DigestOf(const ApiKey& aKey) const;

  Salt salt_;
  std::map<Digest, WorkspaceId> workspaces_;
};

/// Draws a salt from the operating system's random numbers. Throws
/// `std::runtime_error` if they are not available.
ApiKeyIndex::Salt
RandomSalt();

} // namespace verbenawell::jobs
