#include "map_task/choose_probe.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

namespace toucanhollow {
namespace {

// Guards against a group that is never probed because another group does not
// answer, and against repeatedly asking a rank that does not answer.
TEST_CASE("probes alternate between all groups and all their ranks") {
  GroupRegistry registry;
  const std::vector<std::string> servers = {"a", "b", "c", "d", "e"};
  for (const auto& [server, group] : std::map<std::string, std::string>{
           {"a", "g"}, {"b", "g"}, {"c", "g"}, {"d", "h"}}) {
    registry.rank_by_server[server] = {{{"model"}, group}, 0};
  }
  std::set<std::string> asked;
  std::string last_group;
  for (std::size_t turn = 0; turn < 6; ++turn) {
    const auto server = ChooseProbe(registry, servers, turn);
    REQUIRE(server);
    asked.insert(*server);
    CHECK(registry.rank_by_server.at(*server).group.name != last_group);
    last_group = registry.rank_by_server.at(*server).group.name;
  }
  CHECK(asked == std::set<std::string>{"a", "b", "c", "d"});
  CHECK_FALSE(ChooseProbe({}, servers, 3));
}

}  // namespace
}  // namespace toucanhollow
