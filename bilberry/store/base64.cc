#include "bilberry/store/base64.h"

#include <algorithm>
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace bilberry::store {

namespace iterators = boost::archive::iterators;
using Encoder = iterators::base64_from_binary<
    iterators::transform_width<const char *, 6, 8>>;
using Decoder =
    iterators::transform_width<iterators::binary_from_base64<const char *>, 8,
                               6>;

// Base64 encodes each group of three bytes as four characters.
static constexpr size_t GroupBytes = 3;
static constexpr size_t GroupCharacters = 4;

std::string base64Text(std::string_view Bytes) {
  std::string Text(Encoder(Bytes.data()), Encoder(Bytes.data() + Bytes.size()));
  size_t Padding = (GroupBytes - Bytes.size() % GroupBytes) % GroupBytes;
  return Text.append(Padding, '=');
}

static bool isBase64(char Character) {
  return (Character >= 'A' && Character <= 'Z') ||
         (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') || Character == '+' ||
         Character == '/';
}

base::Result<std::string> parseBase64(std::string_view Text) {
  std::string_view Digits = Text;
  while (!Digits.empty() && Digits.back() == '=') {
    Digits.remove_suffix(1);
  }
  bool IsPadded = Text.size() % GroupCharacters == 0 &&
                  Text.size() - Digits.size() < GroupBytes;
  if (!IsPadded || !std::all_of(Digits.begin(), Digits.end(), isBase64)) {
    return base::Error{base::ErrorCode::Malformed, "not valid base64"};
  }
  // The decoder reads complete groups only: replace the padding by characters,
  // then truncate the result.
  std::string CompleteGroups(Digits);
  CompleteGroups.append(Text.size() - Digits.size(), 'A');
  std::string Bytes(Decoder(CompleteGroups.data()),
                    Decoder(CompleteGroups.data() + CompleteGroups.size()));
  Bytes.resize(Digits.size() * GroupBytes / GroupCharacters);
  return Bytes;
}

} // namespace bilberry::store
