// Admission parameters of one endpoint, from its configuration record.
#ifndef ADMISSION_ADMISSION_PARAMETERS_H_
#define ADMISSION_ADMISSION_PARAMETERS_H_

#include "base/time.h"

namespace toucanhollow {

struct AdmissionParameters {
  // Concurrency limits of a cold and of a fully warm endpoint.
  int cold_limit = 2;
  int full_limit = 32;
  // The limit grows by at most a factor of two within this time.
  Duration ramp_interval = Seconds(1);
  // An endpoint without a health sample for longer than this counts as cold.
  Duration health_timeout = Seconds(30);
  Duration grant_lifetime = Seconds(3);
  // Share of the free slots that is issued as grants. The rest stays open to
  // senders without a grant, which a cold endpoint could otherwise not serve.
  double grant_share = 0.5;
  // Maximum age of the data in an engine's load report.
  Duration report_lag = Seconds(1);
  // False for plain services, which report no load. If true, the agent admits
  // nothing before the engine's first report.
  bool reports_load = true;
  // After its data centre was out of service for longer than this, an endpoint
  // returns cold.
  Duration warm_outage_limit = Seconds(5);
  // Maximum number of dispatches that wait at the agent for a slot.
  int queue_limit = 4;
  // Targets that samples are compared with until a baseline is learned. Zero
  // means no target, as for plain services.
  Duration first_token_target = Milliseconds(420);
  Duration step_target = Milliseconds(31);
  // A sample above this multiple of the warm baseline is unhealthy.
  double unhealthy_factor = 3.0;
  // A sample up to this multiple of the warm baseline lets the limit grow. Step
  // time grows with the batch size, so the factor allows for larger batches.
  double growth_factor = 2.0;
  // Differences from the baseline up to these are attributed to scheduling
  // noise of the host.
  Duration first_token_noise = Milliseconds(50);
  Duration step_noise = Milliseconds(10);

  bool operator==(const AdmissionParameters&) const = default;
};

}  // namespace toucanhollow

#endif  // ADMISSION_ADMISSION_PARAMETERS_H_
