#include "bilberry/node/page_client.h"

#include "bilberry/store/http_client.h"

namespace bilberry::node {

static constexpr int StatusOk = 200;

base::Result<std::string> fetchPage(const base::Address &At,
                                    const std::string &Path) {
  httplib::Client Client =
      store::httpClient(At, PageRequestTimeout, PageRequestTimeout);
  httplib::Result Response = Client.Get(Path);
  if (!Response || Response->status != StatusOk) {
    return base::Error{base::ErrorCode::Unavailable, "cannot fetch " + Path +
                                                         " from " +
                                                         base::addressText(At)};
  }
  return Response->body;
}

} // namespace bilberry::node
