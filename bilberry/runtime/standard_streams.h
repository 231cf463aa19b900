// The standard streams of a daemon, whose other ends may be closed or read
// slowly.

#ifndef BILBERRY_RUNTIME_STANDARD_STREAMS_H
#define BILBERRY_RUNTIME_STANDARD_STREAMS_H

#include <string_view>

namespace bilberry::runtime {

/// Opens /dev/null in place of each standard stream that is closed, so that no
/// socket gets its descriptor and receives what is written to the stream. Call
/// before any other descriptor is opened, and before other threads start.
void openClosedStandardStreams();

/// Writes the text to standard error if it is writable now; otherwise the text
/// is discarded. For the last words of a process that must not hang.
void writeErrorIfWritable(std::string_view Text);

} // namespace bilberry::runtime

#endif
