#include "verbenawell/codec/jobs/PeerReportCodec.h"

#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/internal/Decoder.h"
#include "verbenawell/codec/internal/Encoder.h"
#include "verbenawell/codec/jobs/JobFields.h"
#include "verbenawell/jobs/workspaces/ApiKeyIndex.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <memory>
#include <type_traits>

namespace verbenawell::jobs {

namespace {

/// The hash of a key and its workspace.
struct EncodedKey
{
  std::string digest_;
  WorkspaceId workspace_;
};

/// A configuration's workspaces with their keys. The hashes are useless to a
/// caller: the key itself has to be sent.
struct EncodedWorkspaces
{
  std::vector<Workspace> workspaces_;
  std::string salt_;
  std::vector<EncodedKey> keys_;
};

template<typename Bytes>
std::string
ToText(const Bytes& aBytes)
{
  return { aBytes.begin(), aBytes.end() };
}

template<typename Bytes>
Bytes
ToBytes(const std::string& aText)
{
  Bytes bytes{};
  if (aText.size() != bytes.size()) {
    throw DecodeError("a hash has the wrong length");
  }
  std::ranges::copy(aText, bytes.begin());
  return bytes;
}

/// The encoding has integers only, so a number is encoded as its bits.
std::uint64_t
ToBits(double aNumber)
{
  return std::bit_cast<std::uint64_t>(aNumber);
}

double
ToNumber(std::uint64_t aBits)
{
  const auto number = std::bit_cast<double>(aBits);
  if (!std::isfinite(number) || number < 0) {
    throw DecodeError("a number is out of range");
  }
  return number;
}

EncodedWorkspaces
ToEncoded(const Configuration& aConfiguration)
{
  EncodedWorkspaces encoded;
  encoded.workspaces_ = *aConfiguration.workspaces_;
  if (!aConfiguration.keys_) {
    return encoded;
  }
  encoded.salt_ = ToText(aConfiguration.keys_->SaltOfKeys());
  for (const auto& [digest, workspace] : aConfiguration.keys_->Workspaces()) {
    encoded.keys_.push_back({ ToText(digest), workspace });
  }
  return encoded;
}

void
AddWorkspaces(const EncodedWorkspaces& aEncoded, Configuration& aConfiguration)
{
  aConfiguration.workspaces_ = aEncoded.workspaces_;
  if (aEncoded.salt_.empty()) {
    return;
  }
  auto keys =
    std::make_shared<ApiKeyIndex>(ToBytes<ApiKeyIndex::Salt>(aEncoded.salt_));
  for (const auto& [digest, workspace] : aEncoded.keys_) {
    if (aConfiguration.Find(workspace) == nullptr) {
      throw DecodeError("a key belongs to no workspace");
    }
    keys->Add(ToBytes<ApiKeyIndex::Digest>(digest), workspace);
  }
  aConfiguration.keys_ = std::move(keys);
}

template<typename T>
std::string
ToCbor(const T& aValue)
{
  std::string bytes;
  nlohmann::json::to_cbor(codec::Encode(aValue), bytes);
  return bytes;
}

void
RequireAge(Duration aAge)
{
  if (aAge < Duration{}) {
    throw DecodeError("an age is negative");
  }
}

} // namespace

} // namespace verbenawell::jobs

namespace verbenawell::codec {

template<typename Archive, OneOf<jobs::AdviceSettings> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.callTime_, aValue.timePerWorker_, aValue.ticketValidity_);
}

template<typename Archive, OneOf<jobs::Queue> T>
void
Fields(Archive& aArchive, T& aValue)
{
  std::uint64_t stretch = jobs::ToBits(aValue.stretch_);
  aArchive(aValue.id_,
           aValue.host_,
           aValue.pathPrefix_,
           aValue.service_,
           aValue.priority_,
           aValue.maxAttempts_,
           stretch,
           aValue.slack_,
           aValue.advice_,
           aValue.isPublic_);
  if constexpr (!std::is_const_v<T>) {
    aValue.stretch_ = jobs::ToNumber(stretch);
  }
}

template<typename Archive, OneOf<jobs::Service> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.id_, aValue.enforcesCapacity_, aValue.isSparePool_);
}

template<typename Archive, OneOf<jobs::Workspace> T>
void
Fields(Archive& aArchive, T& aValue)
{
  std::uint64_t weight = jobs::ToBits(aValue.weight_.Value());
  aArchive(aValue.id_, weight, aValue.quota_);
  if constexpr (!std::is_const_v<T>) {
    aValue.weight_ = jobs::WorkspaceWeight{ jobs::ToNumber(weight) };
  }
}

template<typename Archive, OneOf<jobs::EncodedKey> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.digest_, aValue.workspace_);
}

template<typename Archive, OneOf<jobs::EncodedWorkspaces> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.workspaces_, aValue.salt_, aValue.keys_);
}

template<typename Archive, OneOf<jobs::Configuration> T>
void
Fields(Archive& aArchive, T& aValue)
{
  std::optional<jobs::EncodedWorkspaces> workspaces;
  if (aValue.workspaces_) {
    workspaces = jobs::ToEncoded(aValue);
  }
  aArchive(aValue.version_, aValue.queues_, aValue.services_, workspaces);
  if constexpr (!std::is_const_v<T>) {
    if (workspaces) {
      jobs::AddWorkspaces(*workspaces, aValue);
    }
  }
}

template<typename Archive, OneOf<jobs::KnownOwner> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.shard_, aValue.owner_, aValue.renewalAge_);
}

template<typename Archive, OneOf<jobs::PeerReport> T>
void
Fields(Archive& aArchive, T& aValue)
{
  aArchive(aValue.version_, aValue.age_, aValue.configuration_, aValue.owners_);
}

} // namespace verbenawell::codec

namespace verbenawell::jobs {

std::string
EncodeKnownVersion(ConfigurationVersion aVersion)
{
  return ToCbor(aVersion);
}

ConfigurationVersion
DecodeKnownVersion(std::string_view aBytes)
{
  return codec::DecodeCbor<ConfigurationVersion>(aBytes);
}

std::string
EncodePeerReport(const PeerReport& aReport)
{
  return ToCbor(aReport);
}

PeerReport
DecodePeerReport(std::string_view aBytes)
{
  auto report = codec::DecodeCbor<PeerReport>(aBytes);
  if (report.configuration_ &&
      report.version_ != report.configuration_->version_) {
    throw DecodeError("a report names another version than it holds");
  }
  RequireAge(report.age_);
  for (const KnownOwner& known : report.owners_) {
    RequireAge(known.renewalAge_);
    if (known.owner_.shards_ > kMaxShards) {
      throw DecodeError("an owner record names more than " +
                        std::to_string(kMaxShards.Value()) + " shards");
    }
  }
  return report;
}

} // namespace verbenawell::jobs
