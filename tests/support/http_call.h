#pragma once

#include <string>

#include "http/http_request.h"

namespace hawthornwheel::testing {

/// Sends one request and runs the loop until it is answered. Status 0 means
/// that no answer came.
http::HttpReply Call(const std::string& method, const std::string& address,
                     const std::string& target, const std::string& body = "",
                     const std::string& token = "");

}  // namespace hawthornwheel::testing
