#include "bilberry/node/page_client.h"

#include "bilberry/store/http_client.h"

namespace bilberry::node {

static constexpr int StatusOk = 200;

base::Result<std::string> fetchPage(const base::Address &At,
                                    const std::string &Path) {
  httplib::Client Client = store::httpClient(At, PageTimeout, PageTimeout);
  httplib::Result Answer = Client.Get(Path);
  if (!Answer || Answer->status != StatusOk) {
    return base::Error{base::ErrorCode::Unavailable,
                       "no page " + Path + " from " + base::addressText(At)};
  }
  return Answer->body;
}

} // namespace bilberry::node
