#include "bilberry/store/http_client.h"

namespace bilberry::store {

httplib::Client httpClient(const base::Address &Server,
                           base::Duration ConnectTimeout,
                           base::Duration ReadTimeout) {
  httplib::Client Client(base::hostText(Server), Server.Port);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(ConnectTimeout);
  Client.set_write_timeout(ConnectTimeout);
  Client.set_read_timeout(ReadTimeout);
  return Client;
}

bool failedBeforeSending(httplib::Error Cause) {
  return Cause == httplib::Error::Connection ||
         Cause == httplib::Error::ConnectionTimeout ||
         Cause == httplib::Error::BindIPAddress;
}

} // namespace bilberry::store
