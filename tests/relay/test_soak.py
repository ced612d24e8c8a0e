"""Short soaks with fixed seeds; soak.py runs any number of them."""
import unittest

import soak

# Seeds 0, 1 and 2 modulo 3: planned work alone, with faults from half of the
# time on, with faults all the time.
SECONDS = 8
SEEDS = (3, 7, 5)


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(0, soak.run_seed(seed, SECONDS))


if __name__ == "__main__":
    unittest.main()
