from unittest import TestCase

from fulmarshore.bench.forward import run
from fulmarshore.bench.rates import Spread

FLOWS = (1, 10, 20)


class ForwardBenchTest(TestCase):
    def test_small_run_measures_every_subject(self):
        result = run(rounds=1, seconds=0.1, flows=FLOWS)
        wanted = {"relay", "entry_answers", "entry_sealed", "agent", "agent_answers"}
        wanted |= {f"entry_{count}" for count in FLOWS}
        self.assertEqual(set(result.rates), wanted)
        for name, rate in result.rates.items():
            with self.subTest(name):
                self.assertGreater(rate.pps, 0)
                self.assertGreater(rate.cpu_pps, 0)
                self.assertGreater(result.ratios[name].median, 0)
        self.assertEqual(result.ratios["relay"], Spread(1.0, 1.0, 1.0))
        self.assertEqual(result.entry_flows, FLOWS[-1])
        self.assertGreater(result.entry_resident_mb, 0)
        self.assertGreater(result.agent_flow_bytes, 0)
        self.assertGreater(result.new_flows_per_second, 0)
