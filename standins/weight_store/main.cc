#include <gflags/gflags.h>

#include "standins/program/stand_in_program.h"
#include "standins/weight_store/weight_store_stand_in.h"

DEFINE_string(address, "127.0.0.1", "listen address");
DEFINE_int32(port, 0, "listen port; 0 lets the system choose");
DEFINE_int64(bytes_per_s, 100'000'000, "rate shared by all fetches");
DEFINE_int64(max_fetches, 8, "fetches at once; more are refused");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  toucanhollow::EventLoop loop;
  toucanhollow::WeightStoreStandIn stand_in(
      loop, {FLAGS_bytes_per_s, static_cast<std::size_t>(FLAGS_max_fetches)});
  return toucanhollow::RunStandIn(
      loop, FLAGS_address, FLAGS_port,
      [&](const toucanhollow::HttpRequest& request, const auto& writer) {
        stand_in.Handle(request, writer);
      });
}
