"""What tests share: clocks set by hand, scripted peers, harnesses and configurations."""
