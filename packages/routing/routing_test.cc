#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/baselines.h"
#include "routing/choose_endpoint.h"
#include "routing/prefix_index.h"
#include "routing/routing_view.h"

namespace toucanhollow {
namespace {

DataCentreName LocalDataCentre() {
  return DataCentreName{"here"};
}

DataCentreName RemoteDataCentre() {
  return DataCentreName{"there"};
}

TimePoint At(std::int64_t ms) {
  return TimePoint(Milliseconds(ms));
}

EndpointName Endpoint(int number) {
  return EndpointName{"e" + std::to_string(100 + number)};
}

LoadReport MakeReport(int load, int limit = 32) {
  LoadReport report;
  report.incarnation = Incarnation{1};
  report.limit = limit;
  report.full_limit = 32;
  report.load = load;
  report.takes_work = true;
  report.step = Milliseconds(20);
  report.mean_service = Seconds(3);
  return report;
}

RoutingView MakeView(const std::vector<LoadReport>& reports,
                     const DataCentreName& data_centre = LocalDataCentre()) {
  RoutingView view;
  for (int i = 0; i < std::ssize(reports); ++i) {
    view = AddEndpoint(std::move(view), Endpoint(i), data_centre);
    view = ApplyLoadReport(std::move(view), Endpoint(i), reports[i], At(0));
  }
  return view;
}

// Counts how often each endpoint is chosen over 1000 evenly spaced draws.
std::vector<int> CountChoices(const RoutingView& view,
                              const RoutingRequest& request,
                              TimePoint now = At(0)) {
  std::vector<int> counts(view.endpoints.size());
  for (int i = 0; i < 1000; ++i) {
    const RoutingDecision decision =
        ChooseEndpoint(view, {}, request, i / 1000.0, now);
    REQUIRE(decision.endpoint >= 0);
    ++counts[decision.endpoint];
  }
  return counts;
}

// Guards against all entry hosts choosing the one endpoint that a stale report
// shows as least loaded.
TEST_CASE("one stale report does not send all requests to one endpoint") {
  const RoutingView view = MakeView(
      {MakeReport(14), MakeReport(18), MakeReport(18), MakeReport(18)});
  const std::vector<int> counts = CountChoices(view, {}, At(1000));
  CHECK(counts[0] > counts[1]);
  CHECK(counts[0] < 500);
}

// Guards against a host that does not count its dispatches since the last
// report.
TEST_CASE("dispatches sent since the last report count as load") {
  RoutingView view = MakeView({MakeReport(10), MakeReport(10)});
  const double before = ChooseEndpoint(view, {}, {}, 0, At(0)).score_ms;
  for (int i = 0; i < 22; ++i) {
    view = RecordDispatchSent(std::move(view), Endpoint(0), At(1));
  }
  CHECK(EstimateFreeSlots(view.endpoints[0], At(1)) == 0);
  CHECK(CountChoices(view, {})[0] == 0);
  view = RecordDispatchEnded(std::move(view), Endpoint(0));
  CHECK(EstimateFreeSlots(view.endpoints[0], At(1)) == 1);
  view = ApplyLoadReport(std::move(view), Endpoint(0), MakeReport(31), At(2));
  CHECK(EstimateLoad(view.endpoints[0], At(2)) == 31);
  CHECK(ChooseEndpoint(view, {}, {}, 0, At(2)).score_ms > before);
}

// Guards against a host that resends to a full endpoint at once, and against
// one that does not retry it until the next report. The endpoint frees a slot
// every 3 s / 32 = 94 ms.
TEST_CASE("a full endpoint is retried once a slot is probably free") {
  RoutingView view = MakeView({MakeReport(10)});
  const auto refuse_as_full = [&](TimePoint now) {
    view = RecordDispatchSent(std::move(view), Endpoint(0), now);
    view = RecordFullRefusal(std::move(view), Endpoint(0));
    view = RecordDispatchEnded(std::move(view), Endpoint(0));
  };
  refuse_as_full(At(0));
  CHECK_FALSE(HasProbableSlot(view.endpoints[0], At(93)));
  CHECK(HasProbableSlot(view.endpoints[0], At(94)));
  refuse_as_full(At(100));
  CHECK_FALSE(HasProbableSlot(view.endpoints[0], At(287)));
  CHECK(HasProbableSlot(view.endpoints[0], At(288)));
  // An answered dispatch of this host frees a slot.
  view = RecordDispatchSent(std::move(view), Endpoint(0), At(101));
  view = RecordDispatchEnded(std::move(view), Endpoint(0));
  CHECK(HasProbableSlot(view.endpoints[0], At(102)));
  view = RecordDispatchSent(std::move(view), Endpoint(0), At(102));
  // The report shows a full endpoint: retried after the time to free one slot.
  view = ApplyLoadReport(std::move(view), Endpoint(0), MakeReport(32), At(200));
  CHECK_FALSE(HasProbableSlot(view.endpoints[0], At(290)));
  CHECK(HasProbableSlot(view.endpoints[0], At(400)));
}

// Guards against treating an old report as exact: after many service times only
// the mean over reports is known.
TEST_CASE("an aging report moves towards the mean of the reports") {
  RoutingView view = MakeView({MakeReport(10)});
  view =
      ApplyLoadReport(std::move(view), Endpoint(0), MakeReport(30), At(1000));
  const EndpointView& endpoint = view.endpoints[0];
  CHECK(EstimateLoad(endpoint, At(1000)) == Approx(30));
  CHECK(EstimateLoad(endpoint, At(100000)) == Approx(15));
  CHECK(LoadUncertainty(endpoint, At(1000)) == 0);
  CHECK(LoadUncertainty(endpoint, At(100000)) > 3);
}

// Guards against new work for a data centre that is out of service (invariant
// I3) and for an endpoint that is leaving (invariant I7).
TEST_CASE("endpoints that are out of service or leaving are never chosen") {
  RoutingView view = MakeView({MakeReport(0), MakeReport(20)});
  view = AddEndpoint(std::move(view), Endpoint(0), RemoteDataCentre());
  view = SetDataCentreView(std::move(view), RemoteDataCentre(),
                           {Milliseconds(1), true});
  CHECK(CountChoices(view, {})[0] == 0);
  LoadReport leaving = MakeReport(0);
  leaving.takes_work = false;
  view = ApplyLoadReport(std::move(view), Endpoint(1), leaving, At(0));
  const RoutingDecision none = ChooseEndpoint(view, {}, {}, 0, At(0));
  CHECK(none.endpoint == -1);
  CHECK(none.code == ResultCode::kDataCentreOut);
  CHECK(ChooseRoundRobin(view, 3) == -1);
  CHECK(ChooseLeastOutstanding(view, 0.5) == -1);
  CHECK(ChooseBestOfTwo(view, 0.5, 0.5) == -1);
  view = SetDataCentreView(std::move(view), RemoteDataCentre(),
                           {Milliseconds(1), false});
  CHECK(CountChoices(view, {})[0] == 1000);
}

// Guards against weighting a prefix match without regard to the prefill time
// that it saves.
TEST_CASE("a prefix match is chosen only if it saves more time than it costs") {
  const std::vector<PrefixMatch> matches = {{Endpoint(0), 64}};
  RoutingRequest request;
  request.prompt_tokens = 1024;
  request.matches = matches;
  CHECK(CountChoices(MakeView({MakeReport(26), MakeReport(20)}), request)[0] >
        950);
  // Waiting for two slots, freed every 3 s / 32, costs more than the 102 ms of
  // prefill that the match saves.
  RoutingView view = MakeView({MakeReport(33), MakeReport(31)});
  CHECK(CountChoices(view, request)[0] == 0);
}

// Guards against a straggling, cold or suspected endpoint that gets as much
// work as the others, and against one that gets none after it recovers.
TEST_CASE("stragglers, cold and suspected endpoints get less work") {
  RoutingRequest request;
  request.expected_output_tokens = 100;
  LoadReport slow = MakeReport(16);
  slow.step = Milliseconds(60);
  const std::vector<LoadReport> healthy(4, MakeReport(16));
  RoutingView view = MakeView(healthy);
  CHECK(CountChoices(view, request)[0] > 200);
  view = ApplyLoadReport(std::move(view), Endpoint(0), slow, At(0));
  CHECK(CountChoices(view, request)[0] == 0);
  view = ApplyLoadReport(std::move(view), Endpoint(0), MakeReport(1, 2), At(0));
  CHECK(CountChoices(view, request)[0] < 50);
  view = ApplyLoadReport(std::move(view), Endpoint(0), MakeReport(16), At(0));
  view = SetSuspected(std::move(view), Endpoint(0), true);
  CHECK(CountChoices(view, request)[0] == 0);
  view = SetSuspected(std::move(view), Endpoint(0), false);
  CHECK(CountChoices(view, request)[0] > 200);
  // Requests are still routed if all endpoints are suspected.
  for (int i = 0; i < 4; ++i) {
    view = SetSuspected(std::move(view), Endpoint(i), true);
  }
  CHECK(ChooseEndpoint(view, {}, request, 0.5, At(0)).has_free_slot);
}

// Guards against using a grant after its expiry, and against counting slots
// granted to other hosts as free.
TEST_CASE("a host's own grants count as free and those of others do not") {
  LoadReport report = MakeReport(30);
  report.granted = 2;
  RoutingView view = MakeView({report});
  CHECK(EstimateFreeSlots(view.endpoints[0], At(0)) == 0);
  view = ApplyGrant(std::move(view), Endpoint(0), 2, Seconds(3), At(0));
  CHECK(EstimateFreeSlots(view.endpoints[0], At(2999)) == 2);
  view = RecordDispatchSent(std::move(view), Endpoint(0), At(1));
  CHECK(EstimateFreeSlots(view.endpoints[0], At(2)) == 1);
  CHECK(EstimateFreeSlots(view.endpoints[0], At(3000)) == 0);
}

// Guards against an attempt that goes to the endpoint that just refused it, and
// against counting dispatches to an earlier incarnation of a restarted agent
// for ever.
TEST_CASE(
    "excluded endpoints are skipped and new incarnations start without load") {
  RoutingView view = MakeView({MakeReport(0), MakeReport(31)});
  const std::vector<EndpointName> excluded = {Endpoint(0)};
  RoutingRequest request;
  request.excluded = excluded;
  CHECK(CountChoices(view, request)[0] == 0);
  view = RecordDispatchSent(std::move(view), Endpoint(0), At(0));
  LoadReport restarted = MakeReport(0);
  restarted.incarnation = Incarnation{2};
  view = ApplyLoadReport(std::move(view), Endpoint(0), restarted, At(1));
  CHECK(EstimateLoad(view.endpoints[0], At(2)) == 0);
  view = ApplyLoadReport(std::move(view), Endpoint(0), MakeReport(9), At(2));
  CHECK(EstimateLoad(view.endpoints[0], At(2)) == 0);
}

CacheEvent StoredEvent(std::uint64_t sequence, std::vector<BlockHash> blocks) {
  return {Endpoint(0), Incarnation{1}, sequence, CacheEvent::Kind::kStored,
          std::move(blocks)};
}

double CountMatchedBlocks(const PrefixIndex& index,
                          const std::vector<BlockHash>& blocks,
                          TimePoint now = At(0)) {
  const std::vector<PrefixMatch> matches = MatchPrefix(index, blocks, now);
  return matches.empty() ? 0 : matches.front().blocks;
}

// Guards against a match that skips a missing block, and against wrong matches
// after late, repeated or missing events, which may only reduce a match.
TEST_CASE("the prefix index tolerates late, repeated and missing events") {
  const std::vector<BlockHash> prompt = {11, 22, 33, 44};
  PrefixIndex index = ApplyCacheEvent(
      {}, StoredEvent(1, {prompt[0], prompt[1], prompt[3]}), At(0));
  CHECK(CountMatchedBlocks(index, prompt) == 2);
  CacheEvent removed = StoredEvent(2, {prompt[1]});
  removed.kind = CacheEvent::Kind::kRemoved;
  index = ApplyCacheEvent(std::move(index), removed, At(0));
  index = ApplyCacheEvent(std::move(index), StoredEvent(1, prompt), At(0));
  CHECK(CountMatchedBlocks(index, prompt) == 1);
  index = ApplyCacheEvent(std::move(index), StoredEvent(5, {prompt[1]}), At(0));
  CHECK(CountMatchedBlocks(index, prompt) == 1);
  index = RecordPrompt(std::move(index), Endpoint(0), prompt, At(2000));
  CHECK(CountMatchedBlocks(index, prompt) == 4);
  CHECK(CountMatchedBlocks(index, prompt, At(603000)) == 0);
  CacheEvent restarted = StoredEvent(1, {});
  restarted.engine = Incarnation{2};
  index = ApplyCacheEvent(std::move(index), restarted, At(3000));
  CHECK(CountMatchedBlocks(index, prompt, At(3000)) == 0);
}

// Guards against an index that grows without bound.
TEST_CASE("the prefix index keeps recent blocks within its size limit") {
  PrefixIndex index;
  index.max_bytes = 100000;
  for (BlockHash block = 1; block <= 20000; ++block) {
    index = RecordPrompt(std::move(index), Endpoint(0),
                         std::vector<BlockHash>{1, block}, At(0));
    REQUIRE(index.younger_bytes + index.older_bytes <= index.max_bytes + 200);
  }
  CHECK(index.younger.size() + index.older.size() < 1100);
  CHECK(CountMatchedBlocks(index, {1}) == 1);
  CHECK(CountMatchedBlocks(index, {20000}) == 1);
  CHECK(CountMatchedBlocks(index, {2}) == 0);
}

}  // namespace
}  // namespace toucanhollow
