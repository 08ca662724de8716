"""Pacing of outgoing datagrams to the rate of the machine's link."""
