#include "bilberry/standin/datagram_batch.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bilberry::standin {

ReceiveBatch::ReceiveBatch()
    : Buffers(MaxBatchDatagrams), PeerAddresses(MaxBatchDatagrams),
      IoVectors(MaxBatchDatagrams), MessageHeaders(MaxBatchDatagrams) {
  for (size_t Index = 0; Index < MaxBatchDatagrams; ++Index) {
    this->Buffers[Index].resize(wire::MaxDatagramBytes);
  }
}

const std::vector<ReceivedDatagram> &ReceiveBatch::receive(const Socket &From) {
  for (size_t Index = 0; Index < MaxBatchDatagrams; ++Index) {
    std::string &Buffer = this->Buffers[Index];
    this->IoVectors[Index] = {Buffer.data(), Buffer.size()};
    msghdr &Header = this->MessageHeaders[Index].msg_hdr;
    Header = {};
    Header.msg_name = &this->PeerAddresses[Index];
    Header.msg_namelen = sizeof(sockaddr_in);
    Header.msg_iov = &this->IoVectors[Index];
    Header.msg_iovlen = 1;
  }
  int Count = ::recvmmsg(From.fd(), this->MessageHeaders.data(),
                         MaxBatchDatagrams, MSG_DONTWAIT, nullptr);
  this->Received.clear();
  for (size_t Index = 0; Index < static_cast<size_t>(std::max(Count, 0));
       ++Index) {
    std::string_view Bytes(this->Buffers[Index].data(),
                           this->MessageHeaders[Index].msg_len);
    this->Received.push_back({fromSockaddr(this->PeerAddresses[Index]), Bytes});
  }
  return this->Received;
}

void SendBatch::add(base::Address To, std::string Bytes) {
  this->Entries.push_back({toSockaddr(To), std::move(Bytes)});
}

void SendBatch::flush(const Socket &Sender) {
  size_t First = 0;
  while (First < this->Entries.size()) {
    size_t Sent = this->sendFrom(Sender, First);
    // Drops the refused datagram, so that it doesn't block the others.
    this->DroppedCount += Sent == 0 ? 1 : 0;
    First += std::max<size_t>(Sent, 1);
  }
  this->Entries.clear();
}

size_t SendBatch::sendFrom(const Socket &Sender, size_t First) {
  std::array<iovec, MaxBatchDatagrams> IoVectors = {};
  std::array<mmsghdr, MaxBatchDatagrams> MessageHeaders = {};
  size_t Count = std::min(MaxBatchDatagrams, this->Entries.size() - First);
  for (size_t Index = 0; Index < Count; ++Index) {
    Entry &Each = this->Entries[First + Index];
    IoVectors[Index] = {Each.Bytes.data(), Each.Bytes.size()};
    msghdr &Header = MessageHeaders[Index].msg_hdr;
    Header.msg_name = &Each.To;
    Header.msg_namelen = sizeof(sockaddr_in);
    Header.msg_iov = &IoVectors[Index];
    Header.msg_iovlen = 1;
  }
  int Sent = ::sendmmsg(Sender.fd(), MessageHeaders.data(),
                        static_cast<unsigned>(Count), MSG_DONTWAIT);
  return static_cast<size_t>(std::max(Sent, 0));
}

} // namespace bilberry::standin
