#include "bilberry/node/page_client.h"

#include <httplib.h>

namespace bilberry::node {

static constexpr int StatusOk = 200;

base::Result<std::string> fetchPage(const base::Address &At,
                                    const std::string &Path) {
  std::string Text = base::addressText(At);
  httplib::Client Client(Text.substr(0, Text.rfind(':')), At.Port);
  Client.set_connection_timeout(PageTimeout);
  Client.set_read_timeout(PageTimeout);
  Client.set_write_timeout(PageTimeout);
  httplib::Result Answer = Client.Get(Path);
  if (!Answer || Answer->status != StatusOk) {
    return base::Error{base::ErrorCode::Unavailable,
                       "no page " + Path + " from " + Text};
  }
  return Answer->body;
}

} // namespace bilberry::node
