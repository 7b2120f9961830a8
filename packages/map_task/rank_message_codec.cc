#include "map_task/rank_message_codec.h"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "cbor/read_cbor.h"

namespace toucanhollow {
namespace {

using nlohmann::json;
using Bytes = std::vector<std::uint8_t>;

constexpr unsigned int kByteBits = 8;
constexpr std::uint16_t kByteMask = 0xff;

std::string EncodeCbor(const json& document) {
  const Bytes bytes = json::to_cbor(document);
  return {bytes.begin(), bytes.end()};
}

void AppendUint16(Bytes& bytes, std::uint16_t number) {
  bytes.push_back(static_cast<std::uint8_t>(number >> kByteBits));
  bytes.push_back(static_cast<std::uint8_t>(number & kByteMask));
}

std::vector<std::uint16_t> DecodeUint16s(const json& value) {
  const auto& bytes = value.get_binary();
  std::vector<std::uint16_t> numbers;
  numbers.reserve(bytes.size() / 2);
  for (std::size_t i = 0; i + 1 < bytes.size(); i += 2) {
    numbers.push_back(
        static_cast<std::uint16_t>((bytes[i] << kByteBits) | bytes[i + 1]));
  }
  return numbers;
}

constexpr int kTwoByteFlag = 0x80;

// Appends numbers below 128 as one byte with seven bits, larger ones as two
// bytes with fifteen. A map is sent to every rank, and links carry only some
// megabits per second.
void AppendVarint(Bytes& bytes, int number) {
  if (number >= kTwoByteFlag) {
    bytes.push_back(
        static_cast<std::uint8_t>(kTwoByteFlag | (number >> kByteBits)));
  }
  bytes.push_back(static_cast<std::uint8_t>(number & kByteMask));
}

// Throws std::out_of_range if the bytes end early.
int ReadVarint(const Bytes& bytes, std::size_t& next) {
  const int first = bytes.at(next++);
  if (first < kTwoByteFlag) {
    return first;
  }
  return ((first & (kTwoByteFlag - 1)) << kByteBits) | bytes.at(next++);
}

// The experts of each rank follow their count, set by set and rank by rank.
json ToJson(const GroupMap& map) {
  Bytes bytes;
  for (const ExpertMap& set : map) {
    for (const std::vector<int>& experts : set.experts_by_rank) {
      AppendVarint(bytes, static_cast<int>(experts.size()));
      for (const int expert : experts) {
        AppendVarint(bytes, expert);
      }
    }
  }
  const std::size_t ranks =
      map.empty() ? 0 : map.front().experts_by_rank.size();
  return json::array({map.size(), ranks, json::binary(std::move(bytes))});
}

GroupMap ToMap(const json& document) {
  const auto sets = document.at(0).get<std::size_t>();
  const auto ranks = document.at(1).get<std::size_t>();
  const Bytes& bytes = document.at(2).get_binary();
  // Each rank of each set takes at least the one byte of its count.
  if (ranks == 0 ? sets > 0 : sets > bytes.size() / ranks) {
    throw std::out_of_range("a map of " + std::to_string(sets) +
                            " sets does not fit in " +
                            std::to_string(bytes.size()) + " bytes");
  }
  GroupMap map;
  std::size_t next = 0;
  for (std::size_t set = 0; set < sets; ++set) {
    map.emplace_back();
    for (std::size_t rank = 0; rank < ranks; ++rank) {
      auto& experts = map.back().experts_by_rank.emplace_back();
      for (int left = ReadVarint(bytes, next); left > 0; --left) {
        experts.push_back(ReadVarint(bytes, next));
      }
    }
  }
  return map;
}

json ToJson(const ChoiceTable& choices) {
  Bytes bytes;
  for (const std::vector<double>& set : choices) {
    for (const double chosen : set) {
      AppendUint16(bytes,
                   static_cast<std::uint16_t>(std::clamp<double>(
                       chosen, 0, std::numeric_limits<std::uint16_t>::max())));
    }
  }
  return json::array({choices.size(), json::binary(std::move(bytes))});
}

ChoiceTable ToChoices(const json& document) {
  const auto sets = document.at(0).get<std::size_t>();
  const std::vector<std::uint16_t> numbers = DecodeUint16s(document.at(1));
  ChoiceTable choices;
  const std::size_t experts = sets == 0 ? 0 : numbers.size() / sets;
  for (std::size_t set = 0; set < sets && experts > 0; ++set) {
    const auto begin =
        numbers.begin() + static_cast<std::ptrdiff_t>(set * experts);
    choices.emplace_back(begin, begin + static_cast<std::ptrdiff_t>(experts));
  }
  return choices;
}

template <typename Value>
json ToJson(const std::optional<Value>& value) {
  return value ? json(*value) : json(nullptr);
}

template <typename Value>
std::optional<Value> ToOptional(const json& value) {
  return value.is_null() ? std::nullopt : std::optional(value.get<Value>());
}

// `last` is the highest value of the enumeration.
template <typename Enum>
Enum ToEnum(const json& value, Enum last) {
  const int number = value.get<int>();
  if (number < 0 || number > static_cast<int>(last)) {
    throw std::out_of_range("unknown kind " + std::to_string(number));
  }
  return static_cast<Enum>(number);
}

json ToJson(const RankReport& report) {
  return json::array({report.group, report.epoch, report.rank, report.size,
                      report.open, report.busy, report.sequence, report.step,
                      report.map, report.slowdown, ToJson(report.prepared),
                      ToJson(report.armed), ToJson(report.held),
                      report.start_time_ms});
}

RankReport ToReport(const json& document) {
  RankReport report;
  std::size_t next = 0;
  report.group = document.at(next++).get<std::string>();
  report.epoch = document.at(next++).get<std::int64_t>();
  report.rank = document.at(next++).get<int>();
  report.size = document.at(next++).get<int>();
  report.open = document.at(next++).get<bool>();
  report.busy = document.at(next++).get<bool>();
  report.sequence = document.at(next++).get<std::int64_t>();
  report.step = document.at(next++).get<StepNumber>();
  report.map = document.at(next++).get<GroupMapVersion>();
  report.slowdown = document.at(next++).get<double>();
  report.prepared = ToOptional<GroupMapVersion>(document.at(next++));
  report.armed = ToOptional<GroupMapVersion>(document.at(next++));
  report.held = ToOptional<StepNumber>(document.at(next++));
  // Agents of earlier versions do not send it.
  if (document.size() > next) {
    report.start_time_ms = document.at(next).get<std::int64_t>();
  }
  return report;
}

json ToJson(const RankExperts& experts) {
  return json::array({experts.version, experts.by_set});
}

RankExperts ToExperts(const json& document) {
  return {document.at(0).get<GroupMapVersion>(),
          document.at(1).get<std::vector<std::vector<int>>>()};
}

json ToJson(const RankOrder& order) {
  return json::array({static_cast<int>(order.kind), order.epoch,
                      order.expected_sequence, order.version, order.step});
}

RankOrder ToOrder(const json& document) {
  RankOrder order;
  order.kind = ToEnum(document.at(0), RankOrderKind::kRelease);
  order.epoch = document.at(1).get<std::int64_t>();
  order.expected_sequence = document.at(2).get<std::int64_t>();
  order.version = document.at(3).get<GroupMapVersion>();
  order.step = document.at(4).get<StepNumber>();
  return order;
}

template <typename Value, typename Decode>
Result<Value> DecodeCbor(std::string_view bytes, Decode decode) {
  BOOST_OUTCOME_TRY(document, ReadCbor(bytes));
  try {
    return decode(document);
  } catch (const std::exception& error) {
    return MakeFailure(ResultCode::kFrameMalformed, error.what());
  }
}

}  // namespace

std::string EncodeRankRequest(const NumberedRankRequest& message) {
  const RankRequest& request = message.request;
  json document = json::array(
      {message.serial, static_cast<int>(request.kind), request.sets});
  if (request.kind == RankRequestKind::kOrder) {
    document.push_back(ToJson(request.order));
    document.push_back(request.fence);
    if (request.map != nullptr) {
      document.push_back(ToJson(*request.map));
    }
  }
  return EncodeCbor(document);
}

Result<NumberedRankRequest> DecodeRankRequest(std::string_view bytes) {
  return DecodeCbor<NumberedRankRequest>(bytes, [](const json& document) {
    NumberedRankRequest message;
    message.serial = document.at(0).get<std::uint64_t>();
    message.request.kind = ToEnum(document.at(1), RankRequestKind::kOrder);
    message.request.sets = document.at(2).get<int>();
    if (message.request.kind == RankRequestKind::kOrder) {
      message.request.order = ToOrder(document.at(3));
      message.request.fence = document.at(4).get<std::int64_t>();
      if (document.size() > 5) {
        message.request.map =
            std::make_shared<const GroupMap>(ToMap(document.at(5)));
      }
    }
    return message;
  });
}

std::string EncodeRankReply(const NumberedRankReply& message) {
  const RankReply& reply = message.reply;
  return EncodeCbor(
      json::array({message.serial, reply.status, reply.detail,
                   reply.report ? ToJson(*reply.report) : json(nullptr),
                   reply.choices ? ToJson(*reply.choices) : json(nullptr),
                   reply.experts ? ToJson(*reply.experts) : json(nullptr),
                   reply.engine_down}));
}

Result<NumberedRankReply> DecodeRankReply(std::string_view bytes) {
  return DecodeCbor<NumberedRankReply>(bytes, [](const json& document) {
    NumberedRankReply message;
    message.serial = document.at(0).get<std::uint64_t>();
    message.reply.status = document.at(1).get<int>();
    message.reply.detail = document.at(2).get<std::string>();
    if (!document.at(3).is_null()) {
      message.reply.report = ToReport(document.at(3));
    }
    if (!document.at(4).is_null()) {
      message.reply.choices = ToChoices(document.at(4));
    }
    if (!document.at(5).is_null()) {
      message.reply.experts = ToExperts(document.at(5));
    }
    // Agents of earlier versions do not send it.
    if (document.size() > 6) {
      message.reply.engine_down = document.at(6).get<bool>();
    }
    return message;
  });
}

}  // namespace toucanhollow
