#include "bilberry/standin/single_route.h"

namespace bilberry::standin {

targets::DocumentFormat singleRouteFormat(const base::Address &Route) {
  return {[](std::string_view) -> targets::DocumentKind {
            return targets::RoutesDocument{};
          },
          [Route](std::string_view) -> base::Result<targets::RouteTable> {
            targets::RouteTable Table;
            Table.Version = 1;
            Table.Routes[targets::RouteTable::key(Route)].Shares = {
                {base::ServiceName("rounds"), 1}};
            Table.Services[base::ServiceName("rounds")] = {};
            Table.Services[base::ServiceName("photos")] = {};
            return Table;
          }};
}

} // namespace bilberry::standin
