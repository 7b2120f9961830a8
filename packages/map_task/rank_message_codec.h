// Encodes and decodes the datagrams between a coordinator and the agents: CBOR,
// with tables of small numbers as byte strings.
#ifndef MAP_TASK_RANK_MESSAGE_CODEC_H_
#define MAP_TASK_RANK_MESSAGE_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "map_task/rank_message.h"

namespace toucanhollow {

// `serial` identifies a request among those of one socket; the reply repeats
// it.
struct NumberedRankRequest {
  std::uint64_t serial = 0;
  RankRequest request;
};

struct NumberedRankReply {
  std::uint64_t serial = 0;
  RankReply reply;
};

std::string EncodeRankRequest(const NumberedRankRequest& message);
// Fails with kFrameMalformed.
Result<NumberedRankRequest> DecodeRankRequest(std::string_view bytes);

// Choices above 65,535 are sent as 65,535.
std::string EncodeRankReply(const NumberedRankReply& message);
// Fails with kFrameMalformed.
Result<NumberedRankReply> DecodeRankReply(std::string_view bytes);

}  // namespace toucanhollow

#endif  // MAP_TASK_RANK_MESSAGE_CODEC_H_
