"""The platform's and the servers' own interfaces, as both programs call them."""
