#include "standins/platform/engine_group_stand_in.h"

#include <algorithm>

#include "base/check.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

constexpr Duration kPass = Milliseconds(20);
constexpr Duration kLateBy = Milliseconds(300);
constexpr int kBegun = 202;
constexpr int kConflict = 409;
constexpr int kFenced = 412;

}  // namespace

EngineGroupStandIn::EngineGroupStandIn(EventLoop& loop,
                                       const EngineGroupShape& shape)
    : loop(loop), shape(shape), ranks(shape.ranks) {
  for (int i = 0; i < shape.ranks; ++i) {
    this->ranks[i].map = this->FirstMap();
    this->Listen(i);
  }
  this->passes = std::make_unique<Timer>(loop, kPass, kPass,
                                         [this] { this->BeginPass(); });
}

void EngineGroupStandIn::Listen(int rank) {
  HttpServerOptions options;
  if (!this->shape.ips.empty()) {
    options.address = this->shape.ips.at(rank);
  }
  options.port = this->ranks[rank].port;
  auto listening = HttpServer::Listen(
      this->loop, std::move(options),
      [this, rank](const HttpRequest& request,
                   const std::shared_ptr<HttpResponseWriter>& writer) {
        this->Handle(rank, request, writer);
      });
  InternalCheck(listening.has_value(), "the engine stand-in listens");
  this->ranks[rank].server = std::move(listening.value());
  this->ranks[rank].port = this->ranks[rank].server->Port();
}

void EngineGroupStandIn::StopRank(int rank) {
  this->ranks.at(rank).stopping = true;
  this->ranks.at(rank).server.reset();
  this->open = false;
  this->still = true;
}

void EngineGroupStandIn::StartRank(int rank) {
  this->ranks.at(rank).stopping = false;
  this->Listen(rank);
  if (std::ranges::all_of(this->ranks, [](const Rank& each) {
        return each.server != nullptr;
      })) {
    this->FormAgain();
    this->open = true;
    this->still = false;
  }
}

LayerSetMaps EngineGroupStandIn::FirstMap() const {
  return LayerSetMaps(
      this->shape.sets,
      InitialMap(this->shape.ranks, this->shape.experts, this->shape.places));
}

void EngineGroupStandIn::FormAgain() {
  ++this->epoch;
  this->last_step = 0;
  for (Rank& rank : this->ranks) {
    rank.sequence = 0;
    rank.version = 0;
    rank.highest = 0;
    rank.map = this->FirstMap();
    rank.prepared.reset();
    rank.armed.reset();
    rank.held.reset();
  }
}

void EngineGroupStandIn::Handle(
    int rank,
    const HttpRequest& request,
    const std::shared_ptr<HttpResponseWriter>& writer) {
  if (this->ranks[rank].stopping) {
    return;
  }
  if (request.path == "/v1/report") {
    HttpHeaders headers;
    if (this->limits.contains(rank)) {
      headers.push_back({"Server-Limit", this->limits.at(rank)});
    }
    writer->Respond(200, headers, this->Report(rank));
  } else if (request.path == "/v1/picked") {
    writer->Respond(
        200, {}, request.query.empty() ? this->Counts() : this->Experts(rank));
  } else if (request.path == "/v1/order") {
    const json order = json::parse(request.body);
    ++this->orders;
    if (this->late_every > 0 && this->orders % this->late_every == 0) {
      this->late.push_back(std::make_unique<Timer>(
          this->loop, kLateBy, Duration(0),
          [this, rank, order, writer] { this->Accept(rank, order); }));
      return;
    }
    writer->Respond(this->Accept(rank, order), {}, "");
  } else if (this->serve) {
    this->serve(rank, request, writer);
  } else {
    writer->Respond(404, {}, "");
  }
}

std::string EngineGroupStandIn::Report(int rank) const {
  const Rank& self = this->ranks[rank];
  json report = {{"group",
                  {{"name", this->shape.name},
                   {"epoch", this->epoch},
                   {"rank", rank},
                   {"state", this->open ? "open" : "broken"}}},
                 {"size", this->shape.ranks},
                 {"busy", false},
                 {"sequence", self.sequence},
                 {"step", this->last_step},
                 {"map", self.version},
                 {"pace", rank == this->slow_rank ? this->slow_pace : 1.0}};
  if (self.prepared) {
    report["prepared"] = self.prepared->first;
  }
  if (self.armed) {
    report["armed"] = self.armed->first;
  }
  if (self.held) {
    report["held"] = *self.held;
  }
  return report.dump();
}

std::string EngineGroupStandIn::Counts() const {
  json counts = json::array();
  for (const auto& set : this->chosen) {
    for (const double sum : set) {
      counts.push_back(sum);
    }
  }
  return json{
      {"step", this->last_step}, {"epoch", this->epoch}, {"counts", counts}}
      .dump();
}

std::string EngineGroupStandIn::Experts(int rank) const {
  const Rank& self = this->ranks[rank];
  json experts = json::array();
  for (const ExpertMap& set : self.map) {
    experts.push_back(set.experts_by_rank[rank]);
  }
  return json{{"map", {{"version", self.version}, {"experts", experts}}}}
      .dump();
}

bool EngineGroupStandIn::ExceedsSpare(int rank,
                                      const LayerSetMaps& present,
                                      const LayerSetMaps& next) const {
  for (std::size_t set = 0; set < next.size(); ++set) {
    const std::vector<int>& held = present[set].experts_by_rank[rank];
    const auto added = std::ranges::count_if(
        next[set].experts_by_rank[rank],
        [&held](int expert) { return std::ranges::count(held, expert) == 0; });
    if (added > this->shape.spare) {
      return true;
    }
  }
  return false;
}

bool EngineGroupStandIn::ExceedsSpareFrom(const LayerSetMaps& map) const {
  for (int rank = 0; rank < this->shape.ranks; ++rank) {
    if (this->ExceedsSpare(rank, map, this->map())) {
      return true;
    }
  }
  return false;
}

int EngineGroupStandIn::Accept(int rank, const json& order) {
  Rank& self = this->ranks[rank];
  const auto operation = order.at("operation").get<std::string>();
  const std::int64_t version = order.value("version", std::int64_t{0});
  const std::int64_t step = order.value("step", std::int64_t{0});
  const std::int64_t fence = order.at("fence_token").get<std::int64_t>();
  if (this->fences && fence < self.fence) {
    return kFenced;
  }
  self.fence = std::max(self.fence, fence);
  if (order.at("expected").get<std::int64_t>() != self.sequence ||
      order.value("epoch", this->epoch) != this->epoch) {
    return kConflict;
  }
  bool fits = false;
  if (operation == "prepare") {
    fits = version > self.highest && !self.armed && !this->refuses_maps;
    LayerSetMaps map;
    for (const json& set : order.at("map")) {
      map.push_back({set.get<std::vector<std::vector<int>>>()});
    }
    if (fits && this->ExceedsSpare(rank, self.map, map)) {
      ++this->oversized;
      fits = false;
    }
    if (fits) {
      self.highest = version;
      self.prepared = {version, std::move(map)};
    }
  } else if (operation == "arm") {
    fits = self.prepared && self.prepared->first == version &&
           step > this->last_step;
    if (fits) {
      self.armed = {version, step};
    }
  } else if (operation == "disarm") {
    fits = self.armed && self.armed->first == version;
    if (fits) {
      self.armed.reset();
    }
  } else if (operation == "hold") {
    fits = step > this->last_step && !self.held;
    if (fits) {
      self.held = step;
    }
  } else if (operation == "go") {
    fits = self.held == step;
    if (fits) {
      self.held.reset();
    }
  }
  self.sequence += fits ? 1 : 0;
  if (fits && this->on_accepted) {
    this->on_accepted(operation);
  }
  return fits ? kBegun : kConflict;
}

void EngineGroupStandIn::BeginPass() {
  const std::int64_t next = this->last_step + 1;
  if (this->still || std::ranges::any_of(this->ranks, [next](const Rank& rank) {
        return rank.held == next;
      })) {
    return;
  }
  this->last_step = next;
  this->chosen.resize(this->demand.size());
  for (std::size_t set = 0; set < this->demand.size(); ++set) {
    this->chosen[set].resize(this->demand[set].size());
    for (std::size_t i = 0; i < this->demand[set].size(); ++i) {
      this->chosen[set][i] += this->demand[set][i];
    }
  }
  bool changed = false;
  for (Rank& rank : this->ranks) {
    if (rank.armed && rank.armed->second == next) {
      rank.version = rank.armed->first;
      rank.map = rank.prepared->second;
      rank.armed.reset();
      changed = true;
    }
  }
  this->switched += changed ? 1 : 0;
  const Rank& first = this->ranks.front();
  this->mixed += std::ranges::any_of(this->ranks,
                                     [&first](const Rank& rank) {
                                       return rank.version != first.version ||
                                              rank.map != first.map;
                                     })
                     ? 1
                     : 0;
}

}  // namespace toucanhollow
