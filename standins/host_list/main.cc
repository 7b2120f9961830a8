#include <gflags/gflags.h>

#include "standins/host_list/host_list_stand_in.h"
#include "standins/program/stand_in_program.h"

DEFINE_string(address, "127.0.0.1", "listen address");
DEFINE_int32(port, 0, "listen port; 0 lets the system choose");
DEFINE_int64(lag_ms, 5000, "time until a change is shown");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  toucanhollow::EventLoop loop;
  toucanhollow::HostListStandIn stand_in(
      toucanhollow::Milliseconds(FLAGS_lag_ms));
  return toucanhollow::RunStandIn(
      loop, FLAGS_address, FLAGS_port,
      [&](const toucanhollow::HttpRequest& request, const auto& writer) {
        stand_in.Handle(request, *writer);
      });
}
