#pragma once

namespace hawthornwheel::http {

/// State of the peer of a connection since its last request was read: no data,
/// more data to read, or connection closed.
enum class PeerState { kIdle, kSending, kClosed };

/// Returns the state of the peer of a socket without consuming data.
PeerState PeerStateOf(int descriptor);

}  // namespace hawthornwheel::http
