"""A replicated register: one state, replaced as a whole, on which a majority of acceptors agrees (single-decree Paxos).

Each change of the register is one round that reads the state and writes its successor. `messages` defines the messages
between proposers and acceptors, `acceptor` the promises and the state that an acceptor stores, `proposer` the rounds,
and `replicated_state` the interface that a state must have. All modules are free of I/O: the caller sends messages,
writes files and provides the clock.
"""
