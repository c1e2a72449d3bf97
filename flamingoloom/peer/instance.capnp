@0xb4f1c0d7a9e35d21;

# Messages between the instances of one deployment.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingoloom::peer::wire");

struct ServerCredit {
  serverId @0 :Text;
  address @1 :Text;
  count @2 :UInt32;
}

# Any failure that has a code of base::ErrorCode. An empty code means success.
struct Failure {
  code @0 :Text;
  step @1 :Text;
  peer @2 :Text;
  message @3 :Text;
}

interface Instance {
  # Answered by the data centre's owner.
  grantCredits @0 (holder :Text, dataCentre :Text, wanted :UInt32)
      -> (failure :Failure, epoch :UInt64, credits :List(ServerCredit),
          lifeMicros :UInt64);

  # Tells the owner that a request record is ready or cancelled.
  submit @1 (dataCentre :Text, account :Text, key :Text, cancel :Bool)
      -> (failure :Failure);

  # Answers when the record is terminal or after waitMicros.
  awaitRequest @2 (dataCentre :Text, account :Text, key :Text,
                   waitMicros :UInt64)
      -> (failure :Failure, terminal :Bool, record :Text);

  # Tells the owner that the data centre's row has changed.
  takeOut @3 (dataCentre :Text, rowVersion :UInt64)
      -> (failure :Failure, acknowledged :Bool, rowVersion :UInt64,
          reason :Text);

  # Asks for a promise not to take over or drain the data centre.
  promise @4 (dataCentre :Text, owner :Text, epoch :UInt64,
              lifeMicros :UInt64)
      -> (failure :Failure);

  # sender and address name the instance that can give the document.
  announceConfig @5 (version :UInt64, sender :Text, address :Text)
      -> (failure :Failure);

  announceLeaving @6 (member :Text) -> (failure :Failure);

  # One JSON document with the state of the instance, for operators' views.
  status @7 (topic :Text) -> (failure :Failure, json :Text);
}
