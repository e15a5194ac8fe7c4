/** Client that checks every token of its answers, the demo and the load tool. */
package io.bilberrygrade.standins.load;
