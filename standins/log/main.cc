#include <gflags/gflags.h>

#include "standins/log/log_stand_in.h"
#include "standins/program/stand_in_program.h"

DEFINE_string(address, "127.0.0.1", "listen address");
DEFINE_int32(port, 0, "listen port; 0 lets the system choose");
DEFINE_double(appends_per_s, 500, "append rate beyond which appends fail");
DEFINE_int64(retention_s, 25 * 3600, "age at which entries are dropped, s");
DEFINE_int64(retained_entries, 1'000'000, "entries kept in each stream");
DEFINE_bool(dedupe_appends, false, "append a repeated append id once");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  toucanhollow::EventLoop loop;
  toucanhollow::LogStandInOptions options;
  options.appends_per_s = FLAGS_appends_per_s;
  options.retention = toucanhollow::Seconds(FLAGS_retention_s);
  options.retained_entries = static_cast<std::size_t>(FLAGS_retained_entries);
  options.dedupe_appends = FLAGS_dedupe_appends;
  toucanhollow::LogStandIn stand_in(loop, options);
  return toucanhollow::RunStandIn(
      loop, FLAGS_address, FLAGS_port,
      [&](const toucanhollow::HttpRequest& request, const auto& writer) {
        stand_in.Handle(request, writer);
      });
}
