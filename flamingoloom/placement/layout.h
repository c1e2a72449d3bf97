// Where the accelerators of a data centre lie in its block tree.
//
// An accelerator has the index
//   ((rack * serversPerRack) + server) * acceleratorsPerServer + slot.
// Its position in the tree is the same with the servers per rack and the
// accelerators per server rounded up to powers of two, so that an aligned block
// never covers parts of two servers or racks of odd size. Positions without an
// accelerator are never free. Indices within one block are consecutive.
//
// Immutable value types; safe to copy between threads.
#pragma once

#include "flamingoloom/base/ids.h"
#include "flamingoloom/placement/shape.h"

namespace flamingoloom::placement {

struct DataCentreCapacity
{
  base::DataCentreId mId;
  int mRacks = 0;
  int mServersPerRack = 8;
  int mAcceleratorsPerServer = 8;

  friend bool operator==(const DataCentreCapacity&,
                         const DataCentreCapacity&) = default;
};

// Precondition of all members: the sizes of the capacity are at least 1.
class Layout
{
public:
  explicit Layout(const DataCentreCapacity& aCapacity);

  int Servers() const { return mServers; }
  int Accelerators() const { return mServers * mPerServer; }
  int AcceleratorsPerServer() const { return mPerServer; }
  // Positions of the tree, a multiple of kMaxShape.
  int Positions() const { return mPositions; }

  int PositionOf(int aIndex) const;
  // Precondition: there is an accelerator at aPosition.
  int IndexOf(int aPosition) const;
  bool HasAccelerator(int aPosition) const;
  // Position of the first accelerator of a server; servers are numbered
  // through all racks.
  int FirstPositionOfServer(int aServer) const;

  // Maximal aligned blocks of the whole data centre.
  LevelCounts Blocks() const;

private:
  int mServers;
  int mServersPerRack;
  int mPerServer;
  int mServerStride;
  int mRackStride;
  int mPositions;
};

} // namespace flamingoloom::placement
