#include "bilberry/runtime/standard_streams.h"

#include <algorithm>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace bilberry::runtime {

void openClosedStandardStreams() {
  for (int Fd : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    if (fcntl(Fd, F_GETFD) < 0) {
      // Returns the lowest free descriptor, which is Fd.
      (void)open("/dev/null", O_RDWR);
    }
  }
}

// A pipe that is writable takes PIPE_BUF bytes without blocking.
void writeErrorIfWritable(std::string_view Text) {
  pollfd Entry = {STDERR_FILENO, POLLOUT, 0};
  if (poll(&Entry, 1, 0) == 1 && (Entry.revents & POLLOUT) != 0) {
    (void)!write(STDERR_FILENO, Text.data(),
                 std::min<size_t>(Text.size(), PIPE_BUF));
  }
}

} // namespace bilberry::runtime
