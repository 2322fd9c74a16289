"""What clients connect to: the platform's lines, and QUIC."""
