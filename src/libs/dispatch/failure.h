#pragma once

#include <string>

#include "base/error.h"
#include "base/error_kind.h"
#include "wire/caller.pb.h"

namespace hawthornwheel::dispatch {

/// Failed answer for `key` by the error table. `may_have_run` settles kinds
/// whose row leaves it to the job whether a task may have run.
wire::JobAnswer MakeFailedAnswer(const std::string& key,
                                 const base::Error& error, bool may_have_run);

}  // namespace hawthornwheel::dispatch
