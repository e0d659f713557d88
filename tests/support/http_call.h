#pragma once

#include <string>

#include "http/http_request.h"

namespace hawthornwheel::testing {

/// Sends one request and runs the main loop until the answer arrives, for at
/// most 30 s. Returns status 0 when no answer arrives.
http::HttpReply Call(const std::string& method, const std::string& address,
                     const std::string& target, const std::string& body = "",
                     const std::string& token = "");

}  // namespace hawthornwheel::testing
