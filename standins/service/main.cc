#include <gflags/gflags.h>

#include "standins/program/stand_in_program.h"
#include "standins/service/service_stand_in.h"

DEFINE_string(address, "127.0.0.1", "listen address");
DEFINE_int32(port, 0, "listen port; 0 lets the system choose");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  toucanhollow::EventLoop loop;
  toucanhollow::ServiceStandIn stand_in(loop);
  return toucanhollow::RunStandIn(
      loop, FLAGS_address, FLAGS_port,
      [&](const toucanhollow::HttpRequest& request, const auto& writer) {
        stand_in.Handle(request, writer);
      });
}
