"""The agent for flows whose packets carry a token: its logic and its process."""
