@0xd1c5a7e2b9f04836;

# One datagram between daemons. The states are those of MemberState.

struct News {
  member @0 :Text;
  incarnation @1 :UInt64;
  state @2 :UInt8;
  freeSlots @3 :UInt32;
}

struct Packet {
  kind @0 :UInt8;
  sequence @1 :UInt64;
  sender @2 :Text;
  subject @3 :Text;
  news @4 :List(News);
}
