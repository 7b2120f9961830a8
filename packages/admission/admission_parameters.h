// Parameters of admission at one endpoint, from its record.
#ifndef ADMISSION_ADMISSION_PARAMETERS_H_
#define ADMISSION_ADMISSION_PARAMETERS_H_

#include "base/time.h"

namespace toucanhollow {

struct AdmissionParameters {
  // Concurrent requests that a cold and a warm endpoint bear.
  int cold_limit = 2;
  int full_limit = 32;
  // The limit at most doubles in this time.
  Duration ramp_interval = Seconds(1);
  // An endpoint without a health sample for this long counts as cold.
  Duration health_timeout = Seconds(30);
  Duration grant_lifetime = Seconds(3);
  // Part of the free slots given out as grants. The rest stays open to
  // senders without a grant, which a cold endpoint could otherwise not serve.
  double grant_share = 0.5;
  // Oldest age of an engine's load report.
  Duration report_lag = Seconds(1);
  // False for plain services that report no load. An agent of an engine that
  // does report admits nothing before the first report.
  bool reports_load = true;
  // A data centre that was out for longer returns cold.
  Duration warm_outage_limit = Seconds(5);
  // Dispatches that may wait at the agent for a slot.
  int queue_limit = 4;
  // Targets that a sample is judged by until a baseline is learned. Zero
  // means no target, as for plain services.
  Duration first_token_target = Milliseconds(420);
  Duration step_target = Milliseconds(31);
  // A sample above this multiple of the warm baseline is unhealthy.
  double unhealthy_factor = 3.0;
  // A sample up to this multiple lets the limit grow. Step time grows with
  // the batch, so the factor leaves room for a fuller batch.
  double growth_factor = 2.0;
  // Differences to the baseline below these are noise of the host.
  Duration first_token_noise = Milliseconds(50);
  Duration step_noise = Milliseconds(10);

  bool operator==(const AdmissionParameters&) const = default;
};

}  // namespace toucanhollow

#endif  // ADMISSION_ADMISSION_PARAMETERS_H_
