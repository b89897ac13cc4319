#include "verbenawell/jobs/workspaces/ApiKeyIndex.h"

#include <stdexcept>

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace verbenawell::jobs {

namespace {

// Longer keys are rejected before they are hashed, so that a caller cannot make
// a daemon spend processor time on them.
constexpr std::size_t kMaxKeyBytes = 1024;

bool
HasValidSize(const ApiKey& aKey)
{
  return !aKey.Secret().empty() && aKey.Secret().size() <= kMaxKeyBytes;
}

} // namespace

void
ApiKeyIndex::Add(const ApiKey& aKey, const WorkspaceId& aWorkspace)
{
  if (!HasValidSize(aKey)) {
    throw std::invalid_argument("a key is empty or longer than " +
                                std::to_string(kMaxKeyBytes) + " bytes");
  }
  const auto [known, isNew] =
    workspaces_.try_emplace(DigestOf(aKey), aWorkspace);
  if (!isNew && known->second != aWorkspace) {
    throw std::invalid_argument("two workspaces have the same key");
  }
}

const WorkspaceId*
ApiKeyIndex::Find(const ApiKey& aKey) const
{
  if (!HasValidSize(aKey)) {
    return nullptr;
  }
  const auto found = workspaces_.find(DigestOf(aKey));
  return found == workspaces_.end() ? nullptr : &found->second;
}

ApiKeyIndex::Digest
ApiKeyIndex::DigestOf(const ApiKey& aKey) const
{
  const std::string& secret = aKey.Secret();
  Digest digest{};
  unsigned int size = 0;
  const auto* text = reinterpret_cast<const unsigned char*>(secret.data());
  if (HMAC(EVP_sha256(),
           salt_.data(),
           static_cast<int>(salt_.size()),
           text,
           secret.size(),
           digest.data(),
           &size) == nullptr ||
      size != digest.size()) {
    throw std::runtime_error("a key could not be hashed");
  }
  return digest;
}

ApiKeyIndex::Salt
RandomSalt()
{
  ApiKeyIndex::Salt salt{};
  if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1) {
    throw std::runtime_error("no random numbers for the salt of the keys");
  }
  return salt;
}

} // namespace verbenawell::jobs
