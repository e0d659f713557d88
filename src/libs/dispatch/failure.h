#pragma once

#include <string>

#include "base/error.h"
#include "base/error_kind.h"
#include "wire/caller.pb.h"

namespace hawthornwheel::dispatch {

/// Failed answer for `key` by the error table. `possible_starts` settles kinds
/// whose row leaves it to the job whether a task may have run.
wire::JobAnswer MakeFailedAnswer(const std::string& key,
                                 const base::Error& error,
                                 bool possible_starts);

}  // namespace hawthornwheel::dispatch
