#include "bilberry/standin/datagram_batch.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bilberry::standin {

ReceiveBatch::ReceiveBatch()
    : Buffers(BatchSize), Names(BatchSize), Parts(BatchSize),
      Headers(BatchSize) {
  for (size_t Index = 0; Index < BatchSize; ++Index) {
    this->Buffers[Index].resize(wire::MaxDatagramBytes);
  }
}

const std::vector<ReceivedDatagram> &ReceiveBatch::receive(const Socket &From) {
  for (size_t Index = 0; Index < BatchSize; ++Index) {
    std::string &Buffer = this->Buffers[Index];
    this->Parts[Index] = {Buffer.data(), Buffer.size()};
    msghdr &Header = this->Headers[Index].msg_hdr;
    Header = {};
    Header.msg_name = &this->Names[Index];
    Header.msg_namelen = sizeof(sockaddr_in);
    Header.msg_iov = &this->Parts[Index];
    Header.msg_iovlen = 1;
  }
  int Count = ::recvmmsg(From.fd(), this->Headers.data(), BatchSize,
                         MSG_DONTWAIT, nullptr);
  this->Received.clear();
  for (size_t Index = 0; Index < static_cast<size_t>(std::max(Count, 0));
       ++Index) {
    std::string_view Bytes(this->Buffers[Index].data(),
                           this->Headers[Index].msg_len);
    this->Received.push_back({addressOf(this->Names[Index]), Bytes});
  }
  return this->Received;
}

void SendBatch::add(base::Address To, std::string Bytes) {
  this->Entries.push_back({systemAddress(To), std::move(Bytes)});
}

void SendBatch::flush(const Socket &Through) {
  size_t First = 0;
  while (First < this->Entries.size()) {
    size_t Sent = this->sendFrom(Through, First);
    // The one that was refused is lost, so that the others aren't held up.
    this->Lost += Sent == 0 ? 1 : 0;
    First += std::max<size_t>(Sent, 1);
  }
  this->Entries.clear();
}

size_t SendBatch::sendFrom(const Socket &Through, size_t First) {
  std::array<iovec, BatchSize> Parts = {};
  std::array<mmsghdr, BatchSize> Headers = {};
  size_t Count = std::min(BatchSize, this->Entries.size() - First);
  for (size_t Index = 0; Index < Count; ++Index) {
    Entry &Each = this->Entries[First + Index];
    Parts[Index] = {Each.Bytes.data(), Each.Bytes.size()};
    msghdr &Header = Headers[Index].msg_hdr;
    Header.msg_name = &Each.To;
    Header.msg_namelen = sizeof(sockaddr_in);
    Header.msg_iov = &Parts[Index];
    Header.msg_iovlen = 1;
  }
  int Sent = ::sendmmsg(Through.fd(), Headers.data(),
                        static_cast<unsigned>(Count), MSG_DONTWAIT);
  return static_cast<size_t>(std::max(Sent, 0));
}

} // namespace bilberry::standin
