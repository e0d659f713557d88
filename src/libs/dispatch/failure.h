#pragma once

#include <string>

#include "base/error.h"
#include "base/error_kind.h"
#include "wire/caller.pb.h"

namespace hawthornwheel::dispatch {

/// Returns a failed answer for `key` with the fields that the error table gives
/// for the kind of `error`. `may_have_run` states whether a task may have run;
/// it applies to kinds for which the table leaves this to the job.
wire::JobAnswer MakeFailedAnswer(const std::string& key,
                                 const base::Error& error, bool may_have_run);

}  // namespace hawthornwheel::dispatch
