// Maps the accelerators of a data centre to positions in its block tree.
//
// An accelerator has the index
//   ((rack * serversPerRack) + server) * acceleratorsPerServer + accelerator,
// where the last term is its number within the server. Its position in the tree
// is computed in the same way, with the servers per rack and the accelerators
// per server rounded up to powers of two. An aligned block therefore never
// covers parts of two servers or racks whose size is not a power of two.
// Positions without an accelerator are never free. Indices within one block are
// consecutive.
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

// Precondition of all members: all sizes in the capacity are at least 1.
class Layout
{
public:
  explicit Layout(const DataCentreCapacity& aCapacity);

  int Servers() const { return mServers; }
  int Accelerators() const { return mServers * mPerServer; }
  int AcceleratorsPerServer() const { return mPerServer; }
  // The number of positions in the tree, a multiple of kMaxShape.
  int Positions() const { return mPositions; }

  int PositionOf(int aIndex) const;
  // Precondition: there is an accelerator at aPosition.
  int IndexOf(int aPosition) const;
  bool HasAccelerator(int aPosition) const;
  // The position of the first accelerator of a server. Servers are numbered
  // through all racks.
  int FirstPositionOfServer(int aServer) const;

  // The maximal aligned blocks of the whole data centre, by level.
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
