#include "verbenawell/codec/VmListCodec.h"

#include "verbenawell/codec/DecodeError.h"

#include <nlohmann/json.hpp>

namespace verbenawell {

namespace {

using nlohmann::json;

VmListing
DecodeListing(const json& aJson)
{
  VmListing listing;
  VmFacts& facts = listing.facts_;
  facts.vm_ = VmId{ aJson.at("vm").get<std::string>() };
  facts.address_ = { aJson.at("host").get<std::string>(),
                     aJson.at("port").get<std::uint16_t>() };
  facts.region_ = RegionId{ aJson.at("region").get<std::string>() };
  facts.zone_ = ZoneId{ aJson.at("zone").get<std::string>() };
  facts.rack_ = RackId{ aJson.at("rack").get<std::string>() };
  facts.size_.cores_ = Cores{ aJson.at("cores").get<std::uint32_t>() };
  facts.size_.memory_ = Megabytes{ aJson.at("memoryMb").get<std::uint64_t>() };
  facts.size_.accelerators_ =
    Accelerators{ aJson.at("accelerators").get<std::uint32_t>() };
  facts.slots_ = SlotCount{ aJson.at("slots").get<std::uint32_t>() };
  facts.boots_ = BootCount{ aJson.at("boots").get<std::uint64_t>() };
  listing.live_ = aJson.at("live").get<bool>();
  listing.leaving_ = aJson.at("leaving").get<bool>();
  return listing;
}

json
EncodeListing(const VmListing& aListing)
{
  const VmFacts& facts = aListing.facts_;
  return { { "vm", facts.vm_.Value() },
           { "host", facts.address_.host_ },
           { "port", facts.address_.port_ },
           { "region", facts.region_.Value() },
           { "zone", facts.zone_.Value() },
           { "rack", facts.rack_.Value() },
           { "cores", facts.size_.cores_.Value() },
           { "memoryMb", facts.size_.memory_.Value() },
           { "accelerators", facts.size_.accelerators_.Value() },
           { "slots", facts.slots_.Value() },
           { "boots", facts.boots_.Value() },
           { "live", aListing.live_ },
           { "leaving", aListing.leaving_ } };
}

} // namespace

std::vector<VmListing>
DecodeVmList(std::string_view aText)
{
  try {
    std::vector<VmListing> vms;
    for (const json& listing : json::parse(aText)) {
      vms.push_back(DecodeListing(listing));
    }
    return vms;
  } catch (const json::exception& error) {
    throw DecodeError(std::string("not a VM list: ") + error.what());
  }
}

std::string
EncodeVmList(const std::vector<VmListing>& aVms)
{
  json list = json::array();
  for (const VmListing& listing : aVms) {
    list.push_back(EncodeListing(listing));
  }
  return list.dump();
}

} // namespace verbenawell
