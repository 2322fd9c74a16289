"""A replicated register: one state, replaced as a whole, on which a majority of acceptors agrees (single-decree Paxos).

Each change of the register is one round that reads the state and writes its successor. `messages` holds what
proposers and acceptors exchange, `acceptor` what an acceptor promises and stores, `proposer` how a round is run, and
`replicated_state` what the register requires of a state. All modules are pure: the caller sends, stores and keeps time.
"""
